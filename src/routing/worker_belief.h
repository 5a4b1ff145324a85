// All that a host believes of one worker.
#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/worker_record.h"
#include "routing/answer_forecast.h"
#include "routing/call_demand.h"
#include "routing/crowding_model.h"
#include "routing/load_estimate.h"
#include "routing/noise_model.h"
#include "routing/router_settings.h"
#include "routing/speed_estimate.h"
#include "routing/standing_change.h"
#include "routing/warm_up_shares.h"
#include "routing/warm_up_state.h"
#include "routing/worker_standing.h"
#include "routing/worker_view.h"

namespace burdockwheel::routing {

// What the beliefs of one worker are set against: its service as a whole.
struct ServiceContext {
  model::FailureDomain own_domain;
  int worker_slots = 6;
  int most_own_in_flight = 10;
  int most_entry_hosts = 25;
  bool is_local_preferred = true;
  std::chrono::nanoseconds crossing_cost{0};
  double crossing_price = 0;    // as a share of what an answer is worth
  double connection_price = 0;  // of a new one, as the same share
  std::chrono::nanoseconds typical_service_time{0};  // 0: no answer yet
  NoiseModel* noise = nullptr;        // learnt from the service's reports
  CrowdingModel* crowding = nullptr;  // learnt from the service's answers
  double typical_others = 0;          // calls of other hosts at a worker
  // Calls that a cold worker bears from all hosts in a second; 0: no bound.
  int max_cold_calls = 0;
  std::chrono::nanoseconds warm_up_duration{0};
  const WarmUpShares* warm_up_shares = nullptr;  // needed if there is a bound
};

// Joins the estimates of load and speed with the standing of one worker and
// keeps the host's own attempts at it.
class WorkerBelief {
 public:
  WorkerBelief(kernel::Instant now, WorkerKey key, model::WorkerRecord record,
               bool is_established, const RouterSettings& settings);

  WorkerKey Key() const { return this->key; }
  const model::WorkerRecord& Record() const { return this->record; }
  WorkerStanding& Standing() { return this->standing; }
  const WorkerStanding& Standing() const { return this->standing; }
  const LoadEstimate& Load() const { return this->load; }
  const SpeedEstimate& Speed() const { return this->speed; }
  // The slots of the worker's own record, else those of the service.
  int Slots(const ServiceContext& context) const;
  int OwnInFlight() const { return static_cast<int>(this->attempts.size()); }

  // Takes a record of the platform's list with the same address.
  void UpdateRecord(kernel::Instant now, const model::WorkerRecord& newest,
                    std::vector<StandingChange>& changes);

  void AttemptStarted(kernel::Instant now, model::AttemptId attempt,
                      const ServiceContext& context);

  // Takes the end of an attempt. `peers_failure_share` is the share of failures
  // among the other workers: what fails everywhere tells nothing of this one.
  // Returns the latency if neither a queue nor neighbours prolonged it.
  std::optional<std::chrono::nanoseconds> AttemptEnded(
      kernel::Instant now, model::AttemptId attempt,
      const model::AttemptOutcome& outcome, const ServiceContext& context,
      double peers_failure_share, bool may_eject, double jitter,
      std::vector<StandingChange>& changes);

  // Takes a report that is `age` old; one older than the newest is passed over.
  void ObserveProbe(kernel::Instant now, const model::WorkerReport& report,
                    std::chrono::nanoseconds age, const ServiceContext& context,
                    std::vector<StandingChange>& changes);

  // Returns how the worker looks now to a call; standing and room are not
  // regarded.
  WorkerView View(kernel::Instant now, const ServiceContext& context,
                  const CallDemand& demand) const;

  // Returns what an answer to the attempt, which is out, is still expected to
  // be worth.
  double WorthOfStaying(kernel::Instant now, model::AttemptId attempt,
                        const ServiceContext& context,
                        const CallDemand& demand) const;

  // Tells whether the worker must be taken for cold where that is bounded.
  bool IsCold(kernel::Instant now, const ServiceContext& context) const;
  // Tells whether this host may send a call without exceeding its share of what
  // a cold worker bears.
  bool IsWithinWarmUpShare(kernel::Instant now,
                           const ServiceContext& context) const;

  // Tells whether the worker has room for a call, given its view. With
  // `may_ask` a full worker whose report is stale may get a single call.
  bool HasRoom(kernel::Instant now, const WorkerView& view,
               const ServiceContext& context, bool may_ask) const;

 private:
  struct Attempt {
    model::AttemptId id;
    kernel::Instant started_at;
    int answers_before = 0;
    double load_factor = 1;          // by which the queue met prolongs it
    std::optional<double> slowdown;  // of the machine, as reported before
  };

  std::optional<Attempt> TakeAttempt(model::AttemptId id);
  bool HasIdleConnection(kernel::Instant now) const;
  std::optional<std::chrono::nanoseconds> ObserveAnswer(
      kernel::Instant now, const Attempt& attempt,
      const model::AttemptOutcome& outcome, const ServiceContext& context,
      std::vector<StandingChange>& changes);
  bool IsClaimCredible(const Attempt& attempt,
                       const model::AttemptOutcome& outcome,
                       const ServiceContext& context) const;
  double FailureWeight(const Attempt& attempt,
                       const model::AttemptOutcome& outcome,
                       const ServiceContext& context) const;
  double Others(kernel::Instant now, const ServiceContext& context) const;
  std::chrono::nanoseconds EffectiveServiceTime(
      kernel::Instant now, const ServiceContext& context) const;
  void NoteSlowdown(kernel::Instant now, const model::WorkerReport& report,
                    const ServiceContext& context);
  std::optional<double> FreshSlowdown(kernel::Instant now) const;
  bool IsSlowedByNeighbours() const {
    return this->slowdown && NoiseModel::IsSlowed(*this->slowdown);
  }
  // The latency without what neighbours added, or nothing if they came or went
  // while the call was out.
  std::optional<std::chrono::nanoseconds> WithoutNoise(
      const Attempt& attempt, const model::AttemptOutcome& outcome) const;
  std::chrono::nanoseconds WorkOf(kernel::Instant now,
                                  const ServiceContext& context,
                                  const CallDemand& demand) const;
  std::chrono::nanoseconds Progress(kernel::Instant begun_at,
                                    kernel::Instant now) const;
  void SetNoise(kernel::Instant now, const ServiceContext& context,
                ForecastInput& input) const;
  ForecastInput Forecast(kernel::Instant now, const ServiceContext& context,
                         const CallDemand& demand, double calls_ahead) const;

  const RouterSettings& settings;
  WorkerKey key;
  model::WorkerRecord record;
  WorkerStanding standing;
  LoadEstimate load;
  SpeedEstimate speed;
  std::vector<Attempt> attempts;  // in the order of their start
  // When the attempts ended whose connections were kept and are free again.
  std::vector<kernel::Instant> idle_since;
  int answers = 0;
  std::optional<double> slowdown;  // as reported last
  kernel::Instant slowdown_at;
  // The newest time for which the machine was slowed, as far as reports tell.
  kernel::Instant slowed_from;
  kernel::Instant slowed_until;
  double last_slowdown = 1;  // of that time
  WarmUpState warm_up;
  // This host's share of what the worker bears while it is cold, and the
  // version of the shares that it was taken from.
  mutable int warm_up_share = 0;
  mutable std::optional<std::size_t> warm_up_version;
};

}  // namespace burdockwheel::routing
