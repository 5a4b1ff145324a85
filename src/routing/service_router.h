// Chooses a worker for each call of one service and holds what this host
// believes of each worker of it.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/instant.h"
#include "load/load_watch.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/service_definition.h"
#include "model/worker_record.h"
#include "routing/call_demand.h"
#include "routing/choice_evidence.h"
#include "routing/crossing_governor.h"
#include "routing/in_flight_limit.h"
#include "routing/noise_model.h"
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

  // Takes the shares of what cold workers bear; needed where the settings and
  // the definition bound that.
  void SetWarmUpShares(std::shared_ptr<const WarmUpShares> shares);

  // Takes how many hosts are alive, this one included.
  void UpdateHostCount(int hosts) { this->host_count = std::max(1, hosts); }

  // Takes the platform's records of this service's workers; the list lags.
  // Workers that it no longer names take no new calls.
  void UpdateWorkers(kernel::Instant now,
                     const std::vector<model::WorkerRecord>& listed);

  // Returns the worker for a call, or nothing when none may take one now.
  // `excluded` names the workers that the call has tried already. With
  // `may_explore` the call may be the single one that tries a worker which was
  // ejected or slow; calls that are not idempotent are better kept from it.
  std::optional<model::WorkerId> Choose(
      kernel::Instant now, const std::vector<model::WorkerId>& excluded,
      std::mt19937_64& random, bool may_explore = true,
      const CallDemand& demand = {});

  // Returns what was known of the worker that Choose returned last.
  const ChoiceEvidence& LastChoice() const { return this->last_choice; }

  // Returns how many workers there are by standing.
  std::map<Standing, int> CountStandings() const;

  // Tells whether there is a bound on what a cold worker gets.
  bool IsWarmUpBounded() const { return this->context.max_cold_calls > 0; }
  // Returns the calls at the workers as a multiple of their slots, as reported.
  double MeanLoad() const { return this->mean_load; }
  // Tells whether calls wait at the workers, as far as their reports tell.
  bool IsShortOfRoom() const {
    return this->in_flight_limit.IsLimiting() || this->mean_load >= 1;
  }

  // Returns how many workers are taken for cold where that is bounded.
  int CountCold(kernel::Instant now) const;
  // Calls that were not sent at once for the sake of cold workers alone.
  std::uint64_t HeldBackCount() const { return this->held_back; }

  // Returns the same as key=value pairs.
  std::string DescribeWorkers() const;

  // Returns by how much a second attempt at another worker is expected to raise
  // what the answer is worth, 0 to 1, while this one is out.
  double GainOfSecond(kernel::Instant now, const model::WorkerId& worker,
                      model::AttemptId attempt,
                      const std::vector<model::WorkerId>& excluded,
                      const CallDemand& demand);

  // Tells whether the service has a worker that is neither draining nor
  // evacuated.
  bool HasWorkers() const;
  // Tells whether there would be one if no failure domain were evacuated.
  bool HasEvacuatedWorkers() const;

  // Tells whether a worker could take a call without exclusions. Choose may
  // still return nothing while calls move to another failure domain.
  bool HasRoom(kernel::Instant now) const;

  // Each attempt that is started at a chosen worker ends exactly once.
  void AttemptStarted(kernel::Instant now, const model::WorkerId& worker,
                      model::AttemptId attempt);
  // Returns how long the call took if neither a queue nor neighbours prolonged
  // it.
  std::optional<std::chrono::nanoseconds> AttemptEnded(
      kernel::Instant now, const model::WorkerId& worker,
      model::AttemptId attempt, const model::AttemptOutcome& outcome);

  // Returns the workers to send a probe to now; the probe budget is spent.
  std::vector<model::WorkerId> TakeWantedProbes(kernel::Instant now,
                                                std::mt19937_64& random);

  // Takes a worker's report that is `age` old, of a probe or from a peer.
  void ObserveProbe(kernel::Instant now, const model::WorkerId& worker,
                    const model::WorkerReport& report,
                    std::chrono::nanoseconds age);

  // Takes what the answer to a probe asks of this host.
  void ObserveNotice(kernel::Instant now, const model::WorkerId& worker,
                     const model::WorkerNotice& notice);

  // Returns when the first worker may be sent a call again if all workers that
  // stay have asked to be left alone, else nothing.
  std::optional<kernel::Instant> AllPausedUntil() const;

  // Appends the workers that take or may soon take calls, as the service's.
  void AppendWatched(const model::ServiceName& service,
                     std::vector<load::WatchedWorker>& watched) const;

  // Returns the changes of standing since the last call, oldest first.
  std::vector<StandingChange> TakeChanges();

  // Returns when standing, ramps or room change by time alone, or nothing.
  // Choose and HasRoom may answer differently from then on.
  std::optional<kernel::Instant> NextWake() const;

  // Returns the standing of a worker, or nothing if it is unknown.
  std::optional<Standing> StandingOf(const model::WorkerId& worker) const;

  const ProbeBudget& Budget() const { return *this->probe_budget; }

 private:
  // A worker's view beside the belief that it was made from.
  struct Candidate {
    const WorkerBelief* belief = nullptr;
    WorkerView view;
    bool has_room = false;
    // It would have, if it were not cold.
    bool is_held_back = false;
  };

  using RecordsById =
      std::unordered_map<model::WorkerId, const model::WorkerRecord*>;

  // Tells whether calls may be sent to the worker at all: it does not drain,
  // and its failure domain is not evacuated.
  static bool IsOpen(const WorkerBelief& worker);
  // Returns the slots of the workers whose failure domains are in use.
  double CountSlots() const;
  // Returns how long a worker that is no longer listed is remembered.
  std::chrono::nanoseconds MemoryOf(const WorkerBelief& worker) const;
  // Forgets workers whose record tells of another life under their name.
  void DropEndedLives(const RecordsById& records);
  bool IsBetter(const WorkerView& left, const WorkerView& right) const;
  WorkerBelief* FindOrNull(const model::WorkerId& address);
  void Advance(kernel::Instant now);
  void RefreshTypical();
  void HoldEjectionFloor(kernel::Instant now);
  bool MayEject() const;
  double PeersFailureShare(const WorkerBelief& worker) const;
  WorkerBelief* ExplorableOrNull(kernel::Instant now);
  int OwnInFlight() const;
  void NoteSlack(kernel::Instant now, const CallDemand& demand);
  // Updates the limit on this host's calls in flight from the workers' reports.
  void ObserveLoad(kernel::Instant now);
  // Returns whether the limit lets this host send one more call.
  bool IsWithinLimit() const;
  // Tells whether this host may ask full workers with stale reports anew.
  bool MayAsk() const;
  void FillCandidates(kernel::Instant now,
                      const std::vector<model::WorkerId>& excluded,
                      const CallDemand& demand,
                      std::vector<Candidate>& candidates) const;
  double CrossingAdvantage(const WorkerView* best_local,
                           const WorkerView& best_remote,
                           const CallDemand& demand) const;
  void DropNotWorthwhile(std::vector<Candidate>& candidates) const;
  bool ChooseSide(kernel::Instant now, const CallDemand& demand);
  std::optional<model::WorkerId> Blocked(kernel::Instant now);
  void NoteChoice(kernel::Instant now, const WorkerView& view,
                  std::size_t candidate_count, bool is_trial);

  // On the heap, so that the beliefs' references survive a move.
  std::unique_ptr<const RouterSettings> settings;
  std::unique_ptr<NoiseModel> noise;
  std::unique_ptr<CrowdingModel> crowding;
  std::shared_ptr<ProbeBudget> probe_budget;
  std::shared_ptr<const WarmUpShares> warm_up_shares;
  ServiceContext context;
  std::unique_ptr<RoutingPolicy> policy;
  std::string policy_name;
  CrossingGovernor crossing;
  InFlightLimit in_flight_limit;
  int host_count = 1;
  // How much longer than its work the last call could take and still meet its
  // objective.
  std::chrono::nanoseconds slack{0};
  std::vector<std::unique_ptr<WorkerBelief>> workers;
  std::unordered_map<model::WorkerId, WorkerBelief*> by_address;
  std::vector<StandingChange> changes;
  std::vector<Candidate> candidates;  // reused from call to call
  std::vector<WorkerView> offered;    // reused from call to call
  std::vector<std::chrono::nanoseconds> service_times;  // reused as well
  std::optional<kernel::Instant> advance_at;
  std::optional<kernel::Instant> blocked_until;
  kernel::Instant probes_wanted_at;
  kernel::Instant load_observed_at;
  WorkerKey last_key = 0;
  double jitter = 0;  // -1 to 1, of the newest random number taken
  int calls_since_exploring = 0;
  std::uint64_t held_back = 0;
  double mean_load = 0;  // calls at the workers by slots, as reported
  bool has_list = false;
  ChoiceEvidence last_choice;
};

}  // namespace burdockwheel::routing
