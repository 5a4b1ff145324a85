#include "ownership/ledger_messages.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace burdockwheel::ownership {

namespace {

using model::Refusal;
using model::RefusalReason;
using model::RunState;

ForwardedCall SampleCall() {
  return {"key",
          "POST",
          "/bookings?x=1",
          {{"A", "b"}},
          std::string("\0y", 2),
          "caller",
          std::chrono::milliseconds(1500),
          2,
          {9}};
}

LedgerPart SamplePart() {
  LedgerPart part{{{"host-1"}, {5}}, 3, {}};
  SealedEntry answered{1, {}, std::chrono::milliseconds(10)};
  answered.entry.state = EntryState::kAnswered;
  answered.entry.is_bound = true;
  answered.entry.digest = DigestOf(SampleCall());
  answered.entry.answer = std::make_shared<const ForwardedAnswer>(
      ForwardedAnswer{201, {{"C", "d"}}, "done"});
  SealedEntry refused{2, {}, std::chrono::milliseconds(20)};
  refused.entry.state = EntryState::kRefused;
  refused.entry.refusal = {RefusalReason::kHostStopping, RunState::kNotRun};
  part.entries = {answered, refused};
  return part;
}

template <typename Decode>
void CheckThatMutationsAreSurvived(const std::string& encoded, Decode decode) {
  std::mt19937_64 random(20260404);
  for (int trial = 0; trial < 20000; ++trial) {
    std::string mutated = encoded;
    for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips)
      mutated[random() % mutated.size()] = static_cast<char>(random());
    if (random() % 8 == 0) mutated.resize(random() % mutated.size());
    static_cast<void>(decode(mutated));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LedgerMessagesTest)

BOOST_AUTO_TEST_CASE(DecodesAForwardedCall) {
  const auto decoded = DecodeForwardedCall(EncodeForwardedCall(SampleCall()));
  BOOST_REQUIRE(decoded.HasValue());
  BOOST_TEST((decoded.Value() == SampleCall()));
}

BOOST_AUTO_TEST_CASE(DecodesAReplyOfEachReason) {
  for (int number = 0;; ++number) {
    const auto reason = static_cast<RefusalReason>(number);
    if (model::RefusalReasonName(reason) == "unspecified") break;
    const Refusal refusal{reason, RunState::kUnknown, std::chrono::seconds(1)};
    const auto decoded =
        DecodeForwardReply(EncodeForwardReply({{3}, {4}, refusal}));
    BOOST_REQUIRE(decoded.HasValue());
    BOOST_TEST(decoded.Value().asker.value == 3U);
    BOOST_TEST(decoded.Value().request.value == 4U);
    const auto& decoded_refusal = std::get<Refusal>(decoded.Value().result);
    BOOST_TEST((decoded_refusal.reason == reason));
    BOOST_TEST((decoded_refusal.run_state == RunState::kUnknown));
    BOOST_TEST((decoded_refusal.retry_after == std::chrono::seconds(1)));
  }
}

BOOST_AUTO_TEST_CASE(DecodesALedgerPart) {
  const auto decoded = DecodeLedgerPart(EncodeLedgerPart(SamplePart()));
  BOOST_REQUIRE(decoded.HasValue());
  const LedgerPart& part = decoded.Value();
  BOOST_TEST((part.issuer == SamplePart().issuer));
  BOOST_TEST(part.index == 3U);
  BOOST_REQUIRE(part.entries.size() == 2U);
  BOOST_TEST(part.entries[0].entry.answer->body == "done");
  BOOST_TEST((part.entries[0].entry.digest == DigestOf(SampleCall())));
  BOOST_TEST(!part.entries[1].entry.is_bound);
  BOOST_TEST((part.entries[1].entry.refusal.run_state == RunState::kNotRun));
}

BOOST_AUTO_TEST_CASE(RefusesAnEntryThatMayStillRun) {
  LedgerPart part = SamplePart();
  part.entries[1].entry.state = EntryState::kUnused;
  const auto decoded = DecodeLedgerPart(EncodeLedgerPart(part));
  BOOST_REQUIRE(!decoded.HasValue());
  BOOST_TEST((decoded.Failure() == ForwardDecodeFailure::kFieldOutOfRange));
}

BOOST_AUTO_TEST_CASE(SurvivesMutatedBytes) {
  CheckThatMutationsAreSurvived(EncodeForwardedCall(SampleCall()),
                                DecodeForwardedCall);
  CheckThatMutationsAreSurvived(
      EncodeForwardReply({{3}, {4}, ForwardedAnswer{200, {}, "body"}}),
      DecodeForwardReply);
  CheckThatMutationsAreSurvived(EncodeLedgerPart(SamplePart()),
                                DecodeLedgerPart);
  CheckThatMutationsAreSurvived(EncodeLedgerQuery({{1}, "key", {}}),
                                DecodeLedgerQuery);
  CheckThatMutationsAreSurvived(
      EncodeLedgerAnswer({{1}, KeyHeld{{2}, ForwardedAnswer{200, {}, "b"}}}),
      DecodeLedgerAnswer);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::ownership
