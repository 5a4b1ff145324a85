// What a host knows of one worker's warm-up.
#pragma once

#include <chrono>
#include <deque>
#include <optional>

#include "kernel/instant.h"

namespace burdockwheel::routing {

// A worker is cold for some time after its start, and may become cold again at
// any moment. Its record and its answers to probes tell. A worker that may have
// started again without its record or an answer saying so counts as cold until
// a probe is answered. Pure.
class WarmUpState {
 public:
  // The calls that are counted against a bound for one second began within this
  // time: they take different times to arrive.
  static constexpr std::chrono::milliseconds kCountedTime{1250};

  // Takes how much longer the worker is cold by its record, which may be read
  // late.
  void ObserveRecord(kernel::Instant now, std::chrono::nanoseconds remaining,
                     bool is_new_life);
  // Takes the same by a probe's answer, which a peer may have measured.
  void ObserveReport(kernel::Instant measured_at,
                     std::chrono::nanoseconds remaining);
  // The worker may have started again, or has not been asked for a while.
  void NoteUnproven(kernel::Instant now) { this->unproven_since = now; }

  // Tells whether the worker has said that it is cold now.
  bool IsSlow(kernel::Instant now) const { return now < this->warm_at; }
  // Tells whether it must be taken for cold; `duration`: of a warm-up.
  bool IsCold(kernel::Instant now, std::chrono::nanoseconds duration) const;

  void NoteSent(kernel::Instant now);
  // Returns the calls of this host that count against the bound.
  int CountSent(kernel::Instant now) const;

 private:
  kernel::Instant warm_at;
  std::optional<kernel::Instant> reported_at;
  std::optional<kernel::Instant> unproven_since;
  std::deque<kernel::Instant> sent;  // the newest calls
};

}  // namespace burdockwheel::routing
