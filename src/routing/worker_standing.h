// The standing of one worker on one host: which share of calls it may take.
#pragma once

#include <chrono>
#include <optional>
#include <vector>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/worker_record.h"
#include "routing/drain_evidence.h"
#include "routing/router_settings.h"
#include "routing/standing_change.h"

namespace burdockwheel::routing {

// A state machine. Failures raise a score that successes and time lower; a
// worker whose score passes the limit is ejected for a back-off that doubles,
// then takes single calls on trial and then a ramp. An answering worker that is
// several times slower than its peers is slow and takes few exploring calls. A
// drain, or a pause that the worker asks for, comes on top of any of these and
// hides them.
class WorkerStanding {
 public:
  // `is_established` is true for the workers that are found listed when the
  // host starts: they need no ramp.
  WorkerStanding(kernel::Instant now, const RouterSettings& settings,
                 model::WorkerId address, bool is_established);

  Standing State() const;

  // Returns the share of a full worker's calls, above 0 and up to 1.
  double Weight(kernel::Instant now) const;

  // Returns the decayed number of recent failures.
  double FailureScore(kernel::Instant now) const;

  // Returns the share of recent attempts that failed, 0 to 1.
  double FailureShare() const { return this->failure_share; }

  // Tells whether the worker may take calls like any other.
  bool TakesCalls() const;

  // Tells whether a single call should be sent now to learn how the worker is.
  // The service has had `calls_since_exploring` calls since the last such one.
  bool WantsExploring(kernel::Instant now, int calls_since_exploring) const;

  // Notes that such a call is sent; `jitter` is random, -1 to 1.
  void NoteExploring(kernel::Instant now, double jitter);

  // Takes the end of an attempt. `weight` is how much the failure tells about
  // this worker, 0 to 1. Ejects only if `may_eject`.
  void ObserveSuccess(kernel::Instant now,
                      std::vector<StandingChange>& changes);
  void ObserveFailure(kernel::Instant now, double weight, bool may_eject,
                      double jitter, std::vector<StandingChange>& changes);

  // Takes the worker's service time as a multiple of its peers'.
  void ObserveSlowness(kernel::Instant now, double ratio,
                       std::vector<StandingChange>& changes);

  // Takes the evidence of a drain; see DrainEvidence.
  void ObserveStatement(kernel::Instant now, kernel::Instant asked_at,
                        bool is_draining, std::vector<StandingChange>& changes);
  void ObserveListed(kernel::Instant now, model::WorkerState state,
                     std::vector<StandingChange>& changes);
  void ObserveAbsent(kernel::Instant now, std::vector<StandingChange>& changes);

  // Takes what an answer of the worker asks of this host.
  void ObserveNotice(kernel::Instant now, const model::WorkerNotice& notice,
                     std::vector<StandingChange>& changes);

  // Returns when a pause ends that the worker has asked for, or nothing if it
  // has asked for none.
  std::optional<kernel::Instant> PausedUntil() const {
    return this->paused_until;
  }

  const DrainEvidence& Drain() const { return this->drain; }
  void NoteRecheck(kernel::Instant now) { this->drain.NoteRecheck(now); }

  // Puts the worker back to trial although its back-off has not passed, since
  // too few workers are left.
  void Readmit(kernel::Instant now, std::vector<StandingChange>& changes);

  // Makes the changes that time alone brings.
  void Advance(kernel::Instant now, std::vector<StandingChange>& changes);

  // Returns when Advance or WantsExploring may next answer differently.
  std::optional<kernel::Instant> NextWake() const;

 private:
  void Enter(kernel::Instant now, Standing next, StandingCause cause,
             std::vector<StandingChange>& changes);
  void Eject(kernel::Instant now, StandingCause cause, double jitter,
             std::vector<StandingChange>& changes);
  void NoteDrainChange(kernel::Instant now, Standing before,
                       std::vector<StandingChange>& changes);
  void Record(kernel::Instant now, Standing from, Standing to,
              StandingCause cause, std::vector<StandingChange>& changes) const;

  const RouterSettings& settings;
  model::WorkerId address;
  Standing standing = Standing::kActive;  // without regard to a drain
  DrainEvidence drain;
  std::optional<kernel::Instant> paused_until;
  kernel::Instant ramp_began_at;
  kernel::Instant ejected_until;
  int ejections = 0;  // in a row; sets the back-off
  int trial_successes = 0;
  double score = 0;
  double failures_in_row = 0;
  kernel::Instant scored_at;
  double failure_share = 0;
  double slowness = 1;
  kernel::Instant slowness_at;
  kernel::Instant explore_at;
  std::chrono::nanoseconds exploring_gap{0};
};

}  // namespace burdockwheel::routing
