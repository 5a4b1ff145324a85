// Chooses a worker for each call of one service and holds what this host
// believes of each worker of it.
#pragma once

#include <chrono>
#include <memory>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/service_definition.h"
#include "model/worker_record.h"
#include "routing/crossing_governor.h"
#include "routing/probe_budget.h"
#include "routing/router_settings.h"
#include "routing/routing_policy.h"
#include "routing/standing_change.h"
#include "routing/worker_belief.h"
#include "routing/worker_view.h"

namespace burdockwheel::routing {

// One instance serves one service on one host. Pure: time and random numbers
// come as arguments; `now` never falls from one call to the next.
class ServiceRouter {
 public:
  // `probe_budget` may be shared by the routers of a host; without one the
  // router has its own.
  explicit ServiceRouter(model::FailureDomain own_domain,
                         std::shared_ptr<ProbeBudget> probe_budget = nullptr,
                         const RouterSettings& settings = {});

  // Takes the service's definition. `most_entry_hosts` divides the workers'
  // connections among the hosts.
  void UpdateDefinition(kernel::Instant now,
                        const model::ServiceDefinition& definition,
                        int most_entry_hosts);

  // Takes the platform's records of this service's workers; the list lags.
  // Workers that it no longer names take no new calls.
  void UpdateWorkers(kernel::Instant now,
                     const std::vector<model::WorkerRecord>& listed);

  // Returns the worker for a call, or nothing when none may take one now.
  // `excluded` names the workers that the call has tried already. With
  // `may_explore` the call may be the single one that tries a worker which was
  // ejected or slow; calls that are not idempotent are better kept from it.
  std::optional<model::WorkerAddress> Choose(
      kernel::Instant now, const std::vector<model::WorkerAddress>& excluded,
      std::mt19937_64& random, bool may_explore = true);

  // Tells whether the service has a worker that is not draining.
  bool HasWorkers() const;

  // Tells whether a worker could take a call without exclusions. Choose may
  // still return nothing while calls move to another failure domain.
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

  // Returns the standing of a worker, or nothing if it is unknown.
  std::optional<Standing> StandingOf(const model::WorkerAddress& worker) const;

  const ProbeBudget& Budget() const { return *this->probe_budget; }

 private:
  // A worker's view beside the belief that it was made from.
  struct Candidate {
    const WorkerBelief* belief = nullptr;
    WorkerView view;
    bool has_room = false;
  };

  WorkerBelief* FindOrNull(const model::WorkerAddress& address);
  void Advance(kernel::Instant now);
  void RefreshTypical();
  void HoldEjectionFloor(kernel::Instant now);
  bool MayEject() const;
  double PeersFailureShare(const WorkerBelief& worker) const;
  WorkerBelief* ExplorableOrNull(kernel::Instant now);
  // Tells whether this host may ask full workers with stale reports anew.
  bool MayAsk() const;
  void FillCandidates(kernel::Instant now,
                      const std::vector<model::WorkerAddress>& excluded,
                      std::vector<Candidate>& candidates) const;
  void DropNotWorthwhile(std::vector<Candidate>& candidates) const;
  bool ChooseSide(kernel::Instant now);
  std::optional<model::WorkerAddress> Blocked(kernel::Instant now);

  // On the heap, so that the beliefs' references survive a move.
  std::unique_ptr<const RouterSettings> settings;
  std::shared_ptr<ProbeBudget> probe_budget;
  ServiceContext context;
  std::unique_ptr<RoutingPolicy> policy;
  std::string policy_name;
  CrossingGovernor crossing;
  std::vector<std::unique_ptr<WorkerBelief>> workers;
  std::unordered_map<model::WorkerAddress, WorkerBelief*> by_address;
  std::vector<StandingChange> changes;
  std::vector<Candidate> candidates;  // reused from call to call
  std::vector<WorkerView> offered;    // reused from call to call
  std::vector<std::chrono::nanoseconds> service_times;  // reused as well
  std::optional<kernel::Instant> advance_at;
  std::optional<kernel::Instant> blocked_until;
  kernel::Instant probes_wanted_at;
  WorkerKey last_key = 0;
  double jitter = 0;  // -1 to 1, of the newest random number taken
  int calls_since_exploring = 0;
  bool has_list = false;
};

}  // namespace burdockwheel::routing
