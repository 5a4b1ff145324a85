#include "engine/retry_budget.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::engine {

namespace {

constexpr int kMaxAttempts = 1000;

int SpendAll(RetryBudget& budget, ExtraAttempt extra) {
  for (int spent = 0; spent < kMaxAttempts; ++spent) {
    if (!budget.TrySpend(extra)) return spent;
  }
  return kMaxAttempts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RetryBudgetTest)

BOOST_AUTO_TEST_CASE(EarnsAShareOfATokenPerSuccessfulFirstTry) {
  RetryBudget budget({}, 0.1);
  SpendAll(budget, ExtraAttempt::kRetryOfFailure);
  for (int call = 0; call < 200; ++call) budget.RecordFirstTrySuccess();
  const int spent = SpendAll(budget, ExtraAttempt::kRetryOfFailure);
  BOOST_TEST(spent >= 19);
  BOOST_TEST(spent <= 20);
}

BOOST_AUTO_TEST_CASE(RefusesExtraAttemptsWhenNoFirstTrySucceeds) {
  RetryBudget budget({}, 0.1);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfFailure) ==
             static_cast<int>(RetryBudgetSettings().initial_tokens));
  BOOST_TEST(!budget.TrySpend(ExtraAttempt::kHedge));
}

BOOST_AUTO_TEST_CASE(CapsTheTokens) {
  RetryBudget budget({}, 0.1);
  for (int call = 0; call < 10'000; ++call) budget.RecordFirstTrySuccess();
  BOOST_TEST(budget.Tokens() == RetryBudgetSettings().max_tokens);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfErrorAnswer) ==
             static_cast<int>(RetryBudgetSettings().max_tokens /
                              RetryBudgetSettings().max_levels));
}

BOOST_AUTO_TEST_CASE(DropsTokensAboveALoweredCap) {
  RetryBudget budget({}, 0.1);
  budget.UpdateMaxTokens(2.5);
  BOOST_TEST(budget.Tokens() == 2.5);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfFailure) == 2);
}

BOOST_AUTO_TEST_CASE(WithOneLevelAnErrorAnswerRetryCostsOneToken) {
  RetryBudgetSettings settings;
  settings.max_levels = 1;
  RetryBudget budget(settings, 0.1);
  BOOST_TEST(SpendAll(budget, ExtraAttempt::kRetryOfErrorAnswer) ==
             static_cast<int>(settings.initial_tokens));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
