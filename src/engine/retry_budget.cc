#include "engine/retry_budget.h"

#include <algorithm>

namespace burdockwheel::engine {

namespace {

// Returns the tokens that a further attempt costs. One that could be made at
// each level costs as much as there are levels, so that the product of the
// levels' shares stays near the share of one. A hedge could be made at each
// level too, but ends with the first answer.
double Price(ExtraAttempt extra) {
  switch (extra) {
    case ExtraAttempt::kRetryOfFailure:
      return 1;
    case ExtraAttempt::kRetryOfErrorAnswer:
      return RetryBudget::kMostLevels;
    case ExtraAttempt::kHedge:
      return RetryBudget::kMostLevels / 2;
  }
  return RetryBudget::kMostLevels;
}

}  // namespace

RetryBudget::RetryBudget(double share) : share(share) {}

void RetryBudget::UpdateShare(double share) { this->share = share; }

void RetryBudget::FirstTrySucceeded() {
  this->tokens = std::min(this->tokens + this->share, kMostTokens);
}

bool RetryBudget::TrySpend(ExtraAttempt extra) {
  if (!this->is_enforced) return true;
  const double price = Price(extra);
  if (this->tokens < price) return false;
  this->tokens -= price;
  return true;
}

}  // namespace burdockwheel::engine
