// Decides from several lagging sources whether a worker is draining.
#pragma once

#include <chrono>
#include <optional>

#include "kernel/instant.h"
#include "model/worker_record.h"
#include "routing/router_settings.h"
#include "routing/standing_change.h"

namespace burdockwheel::routing {

// A drain is believed from whichever source says it first: an answer, a probe
// or the platform's list. The list withdraws its own word by listing the worker
// as live again. The worker's own word ends in one of two ways only: its record
// is absent from the list and then listed live, which is a new life of the
// worker; or, while the list shows it live, several of its statements that were
// asked for after the drain was heard deny it over longer than its health may
// lag.
class DrainEvidence {
 public:
  explicit DrainEvidence(const DrainSettings& settings);

  // Takes a worker's own word in the answer to what was sent at `asked_at`.
  void ObserveStatement(kernel::Instant now, kernel::Instant asked_at,
                        bool is_draining);

  // Takes a worker's word that it ends soon. Nothing withdraws it: a worker
  // that starts again has a new life.
  void ObserveLeaving() { this->is_leaving = true; }
  bool IsLeaving() const { return this->is_leaving; }

  // Takes the platform's word.
  void ObserveListed(kernel::Instant now, model::WorkerState state);
  void ObserveAbsent(kernel::Instant now);

  bool IsDraining() const;
  bool IsAbsent() const { return this->absent_since.has_value(); }
  bool IsAbsentFor(kernel::Instant now, std::chrono::nanoseconds time) const {
    return this->IsAbsent() && now - *this->absent_since >= time;
  }

  // The source of the drain. Precondition: IsDraining().
  StandingCause Cause() const;

  // Returns when a probe should ask whether the announced drain still holds.
  std::optional<kernel::Instant> RecheckAt() const;

  // Notes that such a probe is sent.
  void NoteRecheck(kernel::Instant now) { this->rechecked_at = now; }

 private:
  const DrainSettings& settings;
  std::optional<kernel::Instant> announced_at;  // heard from the worker
  std::optional<kernel::Instant> absent_since;
  bool is_leaving = false;  // by the worker's own word in an answer
  bool is_listed_leaving = false;
  std::optional<kernel::Instant> first_denied_at;
  int denials = 0;
  kernel::Instant rechecked_at;
};

}  // namespace burdockwheel::routing
