#include "engine/hedge_budget.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace burdockwheel::engine {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(HedgeBudgetTest)

// The sum over hosts that come and go is bounded since each starts empty.
BOOST_AUTO_TEST_CASE(NeverExceedsTheShareOfCallsFromItsStart) {
  std::mt19937_64 random(3);
  for (const double share : {0.01, 0.03, 0.1}) {
    int calls = 0;
    int hedges = 0;
    for (int host = 0; host < 50; ++host) {
      HedgeBudget budget({share, 1});
      for (auto left = random() % 400; left > 0; --left) {
        budget.RecordFirstTry(milliseconds(100));
        ++calls;
        if (!budget.MinGain()) continue;
        budget.RecordStart(milliseconds(100));
        budget.RecordEnd(milliseconds(100), milliseconds(100));
        ++hedges;
      }
      BOOST_TEST(hedges <= share * calls);
    }
    BOOST_TEST(hedges > 0);
  }
}

BOOST_AUTO_TEST_CASE(TimeThatHedgesTakeIsPaidForByLaterCalls) {
  constexpr double kShare = 0.05;
  HedgeBudget budget({1, kShare});
  std::chrono::nanoseconds all{0};
  std::chrono::nanoseconds taken{0};
  for (int call = 0; call < 5000; ++call) {
    budget.RecordFirstTry(milliseconds(100));
    all += milliseconds(100);
    if (!budget.MinGain()) continue;
    budget.RecordStart(milliseconds(100));
    // Five times as long as expected.
    budget.RecordEnd(milliseconds(100), milliseconds(500));
    taken += milliseconds(500);
  }
  // The last one may still be owed.
  BOOST_TEST(taken.count() <= kShare * all.count() + 5e8);
  BOOST_TEST((taken == budget.GetCounts().time));
  BOOST_TEST(budget.GetCounts().started > 0U);
}

BOOST_AUTO_TEST_CASE(AsksForMoreGainTheLessIsLeft) {
  HedgeBudget budget({1, 1});
  BOOST_TEST(!budget.MinGain().has_value());
  budget.RecordFirstTry(milliseconds(100));
  BOOST_REQUIRE(budget.MinGain().has_value());
  const double low = *budget.MinGain();
  for (int call = 0; call < 10; ++call)
    budget.RecordFirstTry(milliseconds(100));
  BOOST_TEST(*budget.MinGain() < low);
  BOOST_TEST(*budget.MinGain() >= HedgeBudget::kMinGainWhenFull);
  budget.RecordStart(milliseconds(100));
  budget.RecordStart(milliseconds(100));
  BOOST_TEST(!budget.MinGain().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
