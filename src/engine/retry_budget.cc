#include "engine/retry_budget.h"

#include <algorithm>

namespace burdockwheel::engine {

RetryBudget::RetryBudget(const RetryBudgetSettings& settings, double share)
    : settings(settings),
      share(share),
      tokens(std::min(settings.first_tokens, settings.most_tokens)) {}

void RetryBudget::UpdateShare(double share) { this->share = share; }

void RetryBudget::UpdateMost(double most_tokens) {
  this->settings.most_tokens = most_tokens;
  this->tokens = std::min(this->tokens, most_tokens);
}

void RetryBudget::FirstTrySucceeded() {
  this->tokens =
      std::min(this->tokens + this->share, this->settings.most_tokens);
}

bool RetryBudget::TrySpend(ExtraAttempt extra) {
  if (!this->is_enforced) return true;
  const double price = this->PriceOf(extra);
  if (this->tokens < price) return false;
  this->tokens -= price;
  return true;
}

// A further attempt that could be made at each level costs as much as there are
// levels, so that the product of the levels' shares stays near the share of
// one. A hedge could be made at each level too, but ends with the first answer.
double RetryBudget::PriceOf(ExtraAttempt extra) const {
  switch (extra) {
    case ExtraAttempt::kRetryOfFailure:
      return 1;
    case ExtraAttempt::kRetryOfErrorAnswer:
      return this->settings.most_levels;
    case ExtraAttempt::kHedge:
      return std::max(1.0, this->settings.most_levels / 2);
  }
  return this->settings.most_levels;
}

}  // namespace burdockwheel::engine
