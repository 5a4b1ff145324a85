#include "routing/load_estimate.h"

#include <algorithm>
#include <cmath>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

constexpr double kTrustLoss = 0.6;
constexpr double kTrustGain = 0.05;

}  // namespace

LoadEstimate::LoadEstimate(const LoadSettings& settings) : settings(settings) {}

void LoadEstimate::ObserveReport(kernel::Instant now,
                                 const model::WorkerReport& report,
                                 int own_in_flight) {
  const int claimed = report.calls_in_flight + report.calls_queued;
  const double others = std::max(0, claimed - own_in_flight);
  if (this->report.has_value()) {
    const double kept =
        std::exp(-Ratio(now - this->reported_at, this->settings.mean_time));
    this->mean_others = others + (this->mean_others - others) * kept;
  } else {
    this->mean_others = others;
  }
  this->newest_others = others;
  this->report = report;
  this->reported_at = now;
}

void LoadEstimate::NoteClaim(bool is_credible) {
  if (!this->settings.is_claim_checked) return;
  if (is_credible) {
    this->trust += (1 - this->trust) * kTrustGain;
    return;
  }
  this->trust *= kTrustLoss;
}

double LoadEstimate::Others(kernel::Instant now, double typical_others,
                            std::chrono::nanoseconds service_time) const {
  if (!this->report.has_value()) return typical_others;
  const auto forgetting_time =
      Scale(service_time, this->settings.forgetting_service_times);
  const double kept =
      std::exp(-Ratio(now - this->reported_at, forgetting_time));
  const double claimed =
      this->mean_others + (this->newest_others - this->mean_others) * kept;
  if (this->trust > 0.99) return claimed;
  const double cautious = std::max(claimed, typical_others);
  return cautious + (claimed - cautious) * this->trust;
}

}  // namespace burdockwheel::routing
