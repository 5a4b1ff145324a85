#include "engine/retry_budget.h"

#include <algorithm>

namespace burdockwheel::engine {

RetryBudget::RetryBudget(const RetryBudgetSettings& settings, double share)
    : settings(settings),
      share(share),
      tokens(std::min(settings.initial_tokens, settings.max_tokens)) {}

void RetryBudget::UpdateShare(double share) { this->share = share; }

void RetryBudget::UpdateMaxTokens(double max_tokens) {
  this->settings.max_tokens = max_tokens;
  this->tokens = std::min(this->tokens, max_tokens);
}

void RetryBudget::RecordFirstTrySuccess() {
  this->tokens =
      std::min(this->tokens + this->share, this->settings.max_tokens);
}

bool RetryBudget::TrySpend(ExtraAttempt extra) {
  if (!this->is_enforced) return true;
  const double cost = this->CostOf(extra);
  if (this->tokens < cost) return false;
  this->tokens -= cost;
  return true;
}

// A failure that every level may retry costs one token per level, so that the
// amplification over all levels together stays near that of one level. Every
// level may hedge too, but a hedge ends with the first answer and costs half.
double RetryBudget::CostOf(ExtraAttempt extra) const {
  switch (extra) {
    case ExtraAttempt::kRetryOfFailure:
      return 1;
    case ExtraAttempt::kRetryOfErrorAnswer:
      return this->settings.max_levels;
    case ExtraAttempt::kHedge:
      return std::max(1.0, this->settings.max_levels / 2);
  }
  return this->settings.max_levels;
}

}  // namespace burdockwheel::engine
