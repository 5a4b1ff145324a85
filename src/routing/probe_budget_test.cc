#include "routing/probe_budget.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::Instant kStart{std::chrono::hours(1)};

// Asks for as many probes as it can get each millisecond and returns how many
// it got in the time.
std::uint64_t SpendAll(ProbeBudget& budget, std::chrono::milliseconds time,
                       int calls_per_millisecond) {
  std::uint64_t sent = 0;
  for (auto now = kStart; now < kStart + time; now += milliseconds(1)) {
    for (int call = 0; call < calls_per_millisecond; ++call)
      budget.CallStarted();
    for (int attempt = 0; attempt < 1000; ++attempt)
      if (budget.TrySpend(now)) ++sent;
  }
  return sent;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ProbeBudgetTest)

BOOST_AUTO_TEST_CASE(GreedyPolicyGetsTheShareOfCallsAndTheFloorOnly) {
  ProbeBudget budget;
  const auto sent = SpendAll(budget, seconds(10), 1);
  BOOST_TEST(sent <= 10'000U / 20 + 10 + 1);
  BOOST_TEST(sent >= 10'000U / 20);
  BOOST_TEST(budget.SentCount() == sent);
  BOOST_TEST(budget.RefusedCount() == 10'000'000U - sent);
}

BOOST_AUTO_TEST_CASE(CeilingHoldsUnderACallStorm) {
  ProbeBudget budget;
  BOOST_TEST(SpendAll(budget, seconds(10), 1000) <= 100U * 10 + 20);
}

BOOST_AUTO_TEST_CASE(IdleHostKeepsTheFloor) {
  ProbeBudget budget;
  const auto sent = SpendAll(budget, seconds(10), 0);
  BOOST_TEST(sent >= 9U);
  BOOST_TEST(sent <= 10U);
}

BOOST_AUTO_TEST_CASE(LongPauseSavesUpNoMoreThanTheBurst) {
  ProbeBudget budget;
  BOOST_TEST(budget.Available(kStart) == 0);
  BOOST_TEST(budget.Available(kStart + std::chrono::hours(10)) == 20);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
