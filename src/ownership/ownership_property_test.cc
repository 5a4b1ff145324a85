#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>
#include <cstdlib>
#include <map>
#include <random>

#include "ownership/random_steps_test.h"

namespace burdockwheel::ownership {

namespace {

#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
constexpr char kParameters[] = "seed=20260405 max_success=5000";
#else
constexpr char kParameters[] = "seed=20260405 max_success=100000";
#endif

constexpr double kLengthScale = 2.0;  // up to 200 steps
constexpr std::size_t kLength = 100;  // of the traces of the other tests
constexpr int kSequences = 2000;
constexpr int kMostSequences = 100000;
constexpr std::size_t kLeastHosts = 2;
constexpr std::size_t kMostHosts = 4;

struct NamedProtection {
  Protection protection;
  const char* name;
};

constexpr NamedProtection kProtections[] = {
    {Protection::kOwnIncarnationOnly, "own-incarnation-only"},
    {Protection::kNoTakeover, "no-takeover"},
    {Protection::kUseRecorded, "use-recorded"},
    {Protection::kNotRunRecorded, "not-run-recorded"},
    {Protection::kUnknownRecorded, "unknown-recorded"},
    {Protection::kExpiredRefused, "expired-refused"},
    {Protection::kCallBound, "call-bound"},
    {Protection::kAskerNamed, "asker-named"},
    {Protection::kSealed, "sealed"},
};

std::vector<std::uint32_t> RandomCodes(std::mt19937_64& random) {
  std::vector<std::uint32_t> codes(kLength);
  for (std::uint32_t& code : codes) code = static_cast<std::uint32_t>(random());
  return codes;
}

std::string OutcomeName(const ObservedCall& call) {
  if (call.outcome == CallOutcome::kAnswered) return "answered";
  if (call.outcome == CallOutcome::kLost) return "lost";
  const std::string reason(model::RefusalReasonName(call.reason));
  return (call.outcome == CallOutcome::kNotRun ? "not-run " : "unknown ") +
         reason;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnershipPropertyTest)

// Other seeds and more sequences: RC_PARAMS="seed=N max_success=M".
BOOST_AUTO_TEST_CASE(HoldsInRandomTraces) {
  setenv("RC_PARAMS", kParameters, 0);
  const bool holds = rc::check("what must always hold", [] {
    const auto host_count =
        *rc::gen::inRange<std::size_t>(kLeastHosts, kMostHosts + 1);
    const auto codes = *rc::gen::scale(
        kLengthScale, rc::gen::container<std::vector<std::uint32_t>>(
                          rc::gen::inRange<std::uint32_t>(0, UINT32_MAX)));
    RandomTrace trace(host_count, {});
    const auto violation = trace.PlayAll(codes);
    if (!violation.has_value()) return;
    RC_LOG() << trace.Lines();
    RC_FAIL(std::string(ViolationName(*violation)));
  });
  BOOST_TEST(holds);
}

// Guards the generator: traces that reach nothing would prove nothing.
BOOST_AUTO_TEST_CASE(ReachesEachOutcome) {
  std::map<std::string, int> counts;
  std::mt19937_64 random(20260407);
  for (int sequence = 0; sequence < kSequences; ++sequence) {
    RandomTrace trace(kLeastHosts + sequence % 3, {});
    BOOST_REQUIRE(!trace.PlayAll(RandomCodes(random)).has_value());
    for (const auto& [number, call] : trace.Checker().Calls())
      counts[OutcomeName(call)] += 1;
  }
  for (const auto& [name, count] : counts)
    BOOST_TEST_MESSAGE(name << ": " << count);
  for (const char* name :
       {"answered", "lost", "not-run deadline-exceeded", "not-run overloaded",
        "not-run host-stopping", "unknown key-owner-lost",
        "unknown key-owner-unreachable", "unknown deadline-exceeded",
        "unknown key-expired", "unknown key-mismatch",
        "unknown answer-not-kept", "unknown worker-failed"})
    BOOST_TEST_CONTEXT(name) { BOOST_TEST(counts[name] >= 20); }
}

BOOST_AUTO_TEST_CASE(NoticesTheLossOfEachProtection) {
  for (const auto& [protection, name] : kProtections) {
    std::mt19937_64 random(20260406);
    std::optional<Violation> violation;
    int sequence = 0;
    while (!violation.has_value() && sequence < kMostSequences) {
      RandomTrace trace(kLeastHosts + sequence % 3, {protection});
      violation = trace.PlayAll(RandomCodes(random));
      sequence += 1;
    }
    BOOST_TEST_CONTEXT("without " << name) {
      BOOST_TEST(violation.has_value());
    }
    if (!violation.has_value()) continue;
    BOOST_TEST_MESSAGE("without " << name << ": " << ViolationName(*violation)
                                  << " in sequence " << sequence);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::ownership
