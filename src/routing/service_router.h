// Chooses a worker for each call of one service and holds what this host
// believes of each worker of it.
#pragma once

#include <chrono>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/service_definition.h"
#include "model/worker_record.h"
#include "routing/standing_change.h"

namespace burdockwheel::routing {

// One instance serves one service on one host. Pure: time and random numbers
// come as arguments; `now` never falls from one call to the next.
class ServiceRouter {
 public:
  explicit ServiceRouter(model::FailureDomain own_domain);

  // Takes the service's definition. `most_entry_hosts` divides the workers'
  // connections among the hosts.
  void UpdateDefinition(kernel::Instant now,
                        const model::ServiceDefinition& definition,
                        int most_entry_hosts);

  // Takes the platform's records of this service's workers; the list lags.
  // Workers that it no longer names take no new calls.
  void UpdateWorkers(kernel::Instant now,
                     const std::vector<model::WorkerRecord>& workers);

  // Returns the worker for a call, or nothing when none may take one now.
  // `excluded` names the workers that the call has tried already.
  std::optional<model::WorkerAddress> Choose(
      kernel::Instant now, const std::vector<model::WorkerAddress>& excluded,
      std::mt19937_64& random);

  // Tells whether the service has a worker that is not draining.
  bool HasWorkers() const;

  // Tells whether Choose would return a worker for a call without exclusions.
  bool HasRoom(kernel::Instant now) const;

  // Each attempt that is started at a chosen worker ends exactly once.
  void AttemptStarted(kernel::Instant now, const model::WorkerAddress& worker,
                      model::AttemptId attempt);
  void AttemptEnded(kernel::Instant now, const model::WorkerAddress& worker,
                    model::AttemptId attempt,
                    const model::AttemptOutcome& outcome);

  // Returns the workers to send a probe to now; the probe budget is spent.
  std::vector<model::WorkerAddress> TakeWantedProbes(kernel::Instant now,
                                                     std::mt19937_64& random);

  // Takes the answer of a probe.
  void ObserveProbe(kernel::Instant now, const model::WorkerAddress& worker,
                    const model::WorkerReport& report,
                    std::chrono::nanoseconds latency);

  // Returns the changes of standing since the last call, oldest first.
  std::vector<StandingChange> TakeChanges();

  // Returns when standing, ramps or room change by time alone, or nothing.
  // Choose and HasRoom may answer differently from then on.
  std::optional<kernel::Instant> NextWake() const;

 private:
  struct Worker {
    model::WorkerRecord record;
    int own_in_flight = 0;
    bool is_draining = false;
  };

  Worker* FindOrNull(const model::WorkerAddress& address);
  bool MayTakeCall(const Worker& worker) const;

  model::FailureDomain own_domain;
  int most_own_in_flight = 10;
  std::vector<Worker> workers;
  std::vector<StandingChange> changes;
};

}  // namespace burdockwheel::routing
