#include "engine/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::engine {

namespace {

constexpr int kMostTries = 1000;

int SpendAll(RetryBudget& budget, ExtraAttempt extra) {
  for (int spent = 0; spent < kMostTries; ++spent) {
    if (!budget.TrySpend(extra)) return spent;
  }
  return kMostTries;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

BOOST_AUTO_TEST_CASE(PaysForAShareOfTheFirstTriesThatSucceed) {
  RetryBudget budget({}, 0.1);
  SpendAll(budget, ExtraAttempt::kRetryOfFailure);
  for (int call = 0; call < 200; ++call) budget.FirstTrySucceeded();
  const int spent = SpendAll(budget, ExtraAttempt::kRetryOfFailure);
  BOOST_TEST(spent >= 19);
  BOOST_TEST(spent <= 20);
}

BOOST_AUTO_TEST_CASE(EndsWhenNothingSucceeds) {
  RetryBudget budget({}, 0.1);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfFailure) ==
             static_cast<int>(RetryBudgetSettings().first_tokens));
  BOOST_TEST(!budget.TrySpend(ExtraAttempt::kHedge));
}

BOOST_AUTO_TEST_CASE(SavesABoundedNumberOfTokens) {
  RetryBudget budget({}, 0.1);
  for (int call = 0; call < 10'000; ++call) budget.FirstTrySucceeded();
  BOOST_TEST(budget.Tokens() == RetryBudgetSettings().most_tokens);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfErrorAnswer) ==
             static_cast<int>(RetryBudgetSettings().most_tokens /
                              RetryBudgetSettings().most_levels));
}

BOOST_AUTO_TEST_CASE(LosesWhatIsBeyondALowerBound) {
  RetryBudget budget({}, 0.1);
  budget.UpdateMost(2.5);
  BOOST_TEST(budget.Tokens() == 2.5);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfFailure) == 2);
}

BOOST_AUTO_TEST_CASE(OneLevelOfCallsMakesAllFurtherAttemptsCostAlike) {
  RetryBudgetSettings settings;
  settings.most_levels = 1;
  RetryBudget budget(settings, 0.1);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfErrorAnswer) ==
             static_cast<int>(settings.first_tokens));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
