// All that a host believes of one worker.
#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/worker_record.h"
#include "routing/load_estimate.h"
#include "routing/router_settings.h"
#include "routing/speed_estimate.h"
#include "routing/standing_change.h"
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
  std::chrono::nanoseconds typical_service_time{0};  // 0: no answer yet
  double typical_others = 0;  // calls of other hosts at a worker
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
  int OwnInFlight() const { return static_cast<int>(this->attempts.size()); }

  // Takes a record of the platform's list with the same address.
  void UpdateRecord(kernel::Instant now, const model::WorkerRecord& newest,
                    std::vector<StandingChange>& changes);

  void AttemptStarted(kernel::Instant now, model::AttemptId attempt,
                      const ServiceContext& context);

  // Takes the end of an attempt. `peers_failure_share` is the share of failures
  // among the other workers: what fails everywhere tells nothing of this one.
  void AttemptEnded(kernel::Instant now, model::AttemptId attempt,
                    const model::AttemptOutcome& outcome,
                    const ServiceContext& context, double peers_failure_share,
                    bool may_eject, double jitter,
                    std::vector<StandingChange>& changes);

  void ObserveProbe(kernel::Instant now, const model::WorkerReport& report,
                    std::chrono::nanoseconds latency,
                    std::vector<StandingChange>& changes);

  // Returns how the worker looks now; standing and room are not regarded.
  WorkerView View(kernel::Instant now, const ServiceContext& context) const;

  // Tells whether the worker has room for a call, given its view. With
  // `may_ask` a full worker whose report is stale may get a single call.
  bool HasRoom(kernel::Instant now, const WorkerView& view,
               const ServiceContext& context, bool may_ask) const;

 private:
  struct Attempt {
    model::AttemptId id;
    kernel::Instant started_at;
    int answers_before = 0;
    double load_factor = 1;  // by which the queue met prolongs it
  };

  std::optional<Attempt> TakeAttempt(model::AttemptId id);
  void ObserveAnswer(kernel::Instant now, const Attempt& attempt,
                     const model::AttemptOutcome& outcome,
                     const ServiceContext& context,
                     std::vector<StandingChange>& changes);
  bool IsClaimCredible(const Attempt& attempt,
                       const model::AttemptOutcome& outcome,
                       const ServiceContext& context) const;
  double FailureWeight(const model::AttemptOutcome& outcome,
                       const ServiceContext& context) const;
  double Others(kernel::Instant now, const ServiceContext& context) const;
  std::chrono::nanoseconds EffectiveServiceTime(
      kernel::Instant now, const ServiceContext& context) const;

  const RouterSettings& settings;
  WorkerKey key;
  model::WorkerRecord record;
  WorkerStanding standing;
  LoadEstimate load;
  SpeedEstimate speed;
  std::vector<Attempt> attempts;  // in the order of their start
  int answers = 0;
};

}  // namespace burdockwheel::routing
