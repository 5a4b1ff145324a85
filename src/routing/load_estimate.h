// Estimates how many calls of other hosts a worker holds.
#pragma once

#include <chrono>
#include <optional>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "routing/router_settings.h"

namespace burdockwheel::routing {

// Reports come with answers and are stale when read: a report's deviation from
// the mean fades with its age. The worker's claims are believed as far as they
// agree with what this host sees.
class LoadEstimate {
 public:
  explicit LoadEstimate(const LoadSettings& settings);

  // Takes a report; `own_in_flight` of the calls in it are this host's.
  void ObserveReport(kernel::Instant now, const model::WorkerReport& report,
                     int own_in_flight);

  // Notes whether the newest claim agrees with what was seen.
  void NoteClaim(bool is_credible);

  // Returns the calls of other hosts that the worker holds. `typical_others`
  // stands in as far as the worker's own claims are not believed; calls of the
  // service take `service_time`, above zero.
  double Others(kernel::Instant now, double typical_others,
                std::chrono::nanoseconds service_time) const;

  // Returns the long-term mean of the other hosts' calls, as claimed.
  double MeanOthers() const { return this->mean_others; }

  // How far claims are believed, 0 to 1.
  double Trust() const { return this->trust; }

  const std::optional<model::WorkerReport>& Report() const {
    return this->report;
  }

  // Precondition: there is a report.
  kernel::Instant ReportedAt() const { return this->reported_at; }

 private:
  const LoadSettings& settings;
  std::optional<model::WorkerReport> report;
  kernel::Instant reported_at;
  double newest_others = 0;
  double mean_others = 0;
  double trust = 1;
};

}  // namespace burdockwheel::routing
