#include "routing/drain_evidence.h"

namespace burdockwheel::routing {

DrainEvidence::DrainEvidence(const DrainSettings& settings)
    : settings(settings) {}

void DrainEvidence::ObserveStatement(kernel::Instant now,
                                     kernel::Instant asked_at,
                                     bool is_draining) {
  if (is_draining) {
    if (!this->announced_at) this->announced_at = now;
    this->rechecked_at = now;
    this->first_denied_at.reset();
    this->denials = 0;
    return;
  }
  if (!this->announced_at) return;
  if (!this->settings.is_freshness_checked) {
    this->announced_at.reset();
    return;
  }
  if (asked_at <= *this->announced_at) return;
  if (!this->first_denied_at) this->first_denied_at = now;
  this->denials += 1;
  if (this->denials < this->settings.denials_needed) return;
  if (now - *this->first_denied_at < this->settings.health_lag) return;
  if (this->is_listed_leaving || this->IsAbsent()) return;
  this->announced_at.reset();
  this->first_denied_at.reset();
  this->denials = 0;
}

void DrainEvidence::ObserveListed(kernel::Instant now,
                                  model::WorkerState state) {
  this->is_listed_leaving = state == model::WorkerState::kLeaving;
  if (!this->absent_since) return;
  const auto absence = now - *this->absent_since;
  this->absent_since.reset();
  if (this->is_listed_leaving) return;
  if (absence < this->settings.shortest_absence) return;
  this->announced_at.reset();
  this->first_denied_at.reset();
  this->denials = 0;
}

void DrainEvidence::ObserveAbsent(kernel::Instant now) {
  if (!this->absent_since) this->absent_since = now;
  this->is_listed_leaving = false;
}

bool DrainEvidence::IsDraining() const {
  return this->is_leaving || this->announced_at.has_value() ||
         this->is_listed_leaving || this->IsAbsent();
}

StandingCause DrainEvidence::Cause() const {
  if (this->is_leaving || this->announced_at)
    return StandingCause::kDrainAnnounced;
  if (this->IsAbsent()) return StandingCause::kRemovedFromList;
  return StandingCause::kLeavingListed;
}

std::optional<kernel::Instant> DrainEvidence::RecheckAt() const {
  if (!this->announced_at || this->is_leaving) return std::nullopt;
  if (this->is_listed_leaving || this->IsAbsent()) return std::nullopt;
  return this->rechecked_at + this->settings.recheck_gap;
}

}  // namespace burdockwheel::routing
