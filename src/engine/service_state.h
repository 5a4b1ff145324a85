// Holds the state that the call engine keeps for one service.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/admission_queue.h"
#include "engine/engine_settings.h"
#include "engine/hedge_budget.h"
#include "engine/latency_quantile.h"
#include "engine/retry_budget.h"
#include "engine/service_time_estimate.h"
#include "kernel/instant.h"
#include "model/identifiers.h"
#include "model/service_definition.h"
#include "routing/service_router.h"

namespace burdockwheel::engine {

// The state of one kind of call. Calls keep it alive after a new configuration
// has removed the kind.
struct KindState {
  static constexpr double kFastQuantile = 0.1;
  static constexpr double kSlowQuantile = 0.97;

  model::CallKind definition;
  std::size_t index = 0;  // into the kinds of the latest definition
  // The kFastQuantile of the latency, used as the minimum time of a call.
  LatencyQuantile fast_latency{kFastQuantile};
  // The latency of a slow answer, after which a hedge is worthwhile.
  LatencyQuantile slow_latency{kSlowQuantile};
  ServiceTimeEstimate work;
  // Calls refused because their deadlines seemed unreachable, since the last
  // one that was sent nevertheless to correct the estimate.
  int refusals_since_trial = 0;

  // Returns how long after the first try a hedge may start.
  std::chrono::nanoseconds HedgeDelay() const;
};

class ServiceState {
 public:
  // `probe_budget` is shared by the services of a host.
  ServiceState(const EngineSettings& settings, model::ServiceName name,
               std::shared_ptr<routing::ProbeBudget> probe_budget);

  // Applies the service's definition; kinds are matched by name. Appends the
  // queued calls of removed kinds to `dropped`.
  void Update(kernel::Instant now, const model::ServiceDefinition& definition,
              int most_entry_hosts, AdmissionQueue::Calls& dropped);

  // Sets how many hosts share the fleet-wide limit on retries and hedges.
  void UpdateHostCount(int hosts);

  const model::ServiceName& Name() const { return this->name; }
  routing::ServiceRouter& Router() { return this->router; }
  AdmissionQueue& Queue() { return this->queue; }
  RetryBudget& Budget() { return this->budget; }
  // Nothing if operators have set no limit on hedges.
  std::optional<HedgeBudget>& Hedges() { return this->hedges; }

  // Returns the kind, or null if the definition has no such index.
  std::shared_ptr<KindState> KindOrNull(std::size_t index) const;

  // Returns when the queue or the router next needs a timer, or
  // kernel::Instant::max() if neither does.
  kernel::Instant NextWake(kernel::Instant now) const;

  // The time of the earliest timer that is set for the service.
  kernel::Instant scheduled_wake = kernel::Instant::max();
  // Whether the last audit record says that the service is overloaded.
  bool was_overloaded_at_last_audit = false;

 private:
  model::ServiceName name;
  routing::ServiceRouter router;
  AdmissionQueue queue;
  std::optional<FleetRetryLimit> fleet_retry;
  RetryBudget budget;
  std::optional<HedgeBudget> hedges;
  std::vector<std::shared_ptr<KindState>> kinds;
};

}  // namespace burdockwheel::engine
