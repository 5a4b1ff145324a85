// What the engine knows of one service.
#pragma once

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "engine/admission_queue.h"
#include "engine/engine_settings.h"
#include "engine/latency_quantile.h"
#include "engine/retry_budget.h"
#include "engine/service_time_estimate.h"
#include "kernel/instant.h"
#include "model/identifiers.h"
#include "model/service_definition.h"
#include "routing/service_router.h"

namespace burdockwheel::engine {

// One kind of call. Calls hold on to it when a new configuration drops it.
struct KindState {
  static constexpr double kFastQuantile = 0.1;
  static constexpr double kSlowQuantile = 0.97;

  model::CallKind definition;
  std::size_t index = 0;  // into the kinds of the newest definition
  LatencyQuantile fast_latency{
      kFastQuantile};  // of answers: what a call takes at least
  LatencyQuantile slow_latency{
      kSlowQuantile};  // of answers: when a hedge is worth it
  ServiceTimeEstimate work;
  // Calls refused since the last one that was sent though it seemed hopeless.
  int refusals_since_trial = 0;

  // Returns how long after the first try a hedge starts.
  std::chrono::nanoseconds HedgeDelay() const;
};

class ServiceState {
 public:
  // `probe_budget` is shared by the services of a host.
  ServiceState(const EngineSettings& settings, model::ServiceName name,
               std::shared_ptr<routing::ProbeBudget> probe_budget);

  // Takes the service's definition; kinds are known by name. Appends waiting
  // calls of kinds that are gone to `unserved`.
  void Update(kernel::Instant now, const model::ServiceDefinition& definition,
              int most_entry_hosts, AdmissionQueue::Calls& unserved);

  // Takes how many hosts share the limit on further attempts.
  void UpdateHostCount(int hosts);

  const model::ServiceName& Name() const { return this->name; }
  routing::ServiceRouter& Router() { return this->router; }
  AdmissionQueue& Queue() { return this->queue; }
  RetryBudget& Budget() { return this->budget; }

  // Returns the kind, or null if the definition has no such index.
  std::shared_ptr<KindState> KindOrNull(std::size_t index) const;

  // Returns when the queue or the router next changes by time alone, the end of
  // time if neither does.
  kernel::Instant NextWake(kernel::Instant now) const;

  // The earliest timer that is set for the service.
  kernel::Instant scheduled_wake = kernel::Instant::max();
  // The mode that was audited last.
  bool is_audited_overloaded = false;

 private:
  model::ServiceName name;
  routing::ServiceRouter router;
  AdmissionQueue queue;
  std::optional<FleetRetryLimit> fleet_retry;
  RetryBudget budget;
  std::vector<std::shared_ptr<KindState>> kinds;
};

}  // namespace burdockwheel::engine
