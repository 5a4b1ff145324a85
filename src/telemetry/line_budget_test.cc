#include "telemetry/line_budget.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace burdockwheel::telemetry {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(LineBudgetTest)

BOOST_AUTO_TEST_CASE(AStormIsCutToTheRateAndCounted) {
  LineBudget budget(100);
  int written = 0;
  const kernel::Instant start{std::chrono::hours(1)};
  for (int step = 0; step < 10'000; ++step) {
    if (budget.TryTake(start + milliseconds(step))) written += 1;
  }
  // A second's worth that was saved up, and ten seconds at the rate.
  BOOST_TEST(written >= 1090);
  BOOST_TEST(written <= 1100);
  BOOST_TEST(budget.TakeSuppressed() ==
             static_cast<std::uint64_t>(10'000 - written));
  BOOST_TEST(budget.TakeSuppressed() == 0U);
}

BOOST_AUTO_TEST_CASE(SeveralLinesAreTakenTogetherOrNotAtAll) {
  LineBudget budget(10);
  const kernel::Instant start{std::chrono::hours(1)};
  BOOST_TEST(budget.TryTake(start, 8));
  BOOST_TEST(!budget.TryTake(start, 4));
  BOOST_TEST(budget.TryTake(start, 2));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::telemetry
