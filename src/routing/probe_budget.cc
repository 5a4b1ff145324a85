#include "routing/probe_budget.h"

#include <algorithm>

#include "routing/durations.h"

namespace burdockwheel::routing {

ProbeBudget::ProbeBudget(const ProbeBudgetSettings& settings)
    : settings(settings), ceiling(settings.burst) {}

void ProbeBudget::CallStarted() {
  this->tokens = std::min(this->settings.burst,
                          this->tokens + this->settings.probes_per_call);
}

int ProbeBudget::Available(kernel::Instant now) {
  this->Refill(now);
  return static_cast<int>(std::min(this->tokens, this->ceiling));
}

bool ProbeBudget::TrySpend(kernel::Instant now) {
  if (this->Available(now) < 1) {
    ++this->refused;
    return false;
  }
  this->tokens -= 1;
  this->ceiling -= 1;
  ++this->sent;
  return true;
}

void ProbeBudget::Refill(kernel::Instant now) {
  if (!this->has_started) {
    this->has_started = true;
    this->refilled_at = now;
    return;
  }
  const double elapsed = Seconds(now - this->refilled_at);
  this->refilled_at = now;
  this->tokens =
      std::min(this->settings.burst,
               this->tokens + elapsed * this->settings.floor_per_second);
  this->ceiling =
      std::min(this->settings.burst,
               this->ceiling + elapsed * this->settings.most_per_second);
}

}  // namespace burdockwheel::routing
