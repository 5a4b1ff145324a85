// Replays a recorded trace and compares what the engine decides.
#pragma once

#include <cstddef>
#include <iosfwd>
#include <string>
#include <string_view>

#include "kernel/result.h"

namespace burdockwheel::trace {

enum class TraceFailureReason {
  kUnreadable,        // a line is not of the form of a trace
  kTimeFell,          // an event is earlier than the one before it
  kActionsDiffer,     // the engine did not give the actions that are stated
  kOutcomeDiffers,    // the calls did not end as stated
  kOutcomeNotStated,  // the trace ends without an outcome
};

// Returns a short fixed name, such as "actions-differ".
std::string_view TraceFailureReasonName(TraceFailureReason reason);

struct TraceFailure {
  TraceFailureReason reason = TraceFailureReason::kUnreadable;
  std::size_t line = 0;  // counted from 1
  std::string expected;  // JSON, empty where there is nothing to compare
  std::string got;
};

struct TraceReplay {
  std::size_t events = 0;
  std::string outcome;  // JSON
};

// Hands the events of the trace to a new engine. Lines that state actions, and
// the outcome at the end, must be met exactly.
kernel::Result<TraceReplay, TraceFailure> ReplayEngineTrace(
    std::istream& input);

}  // namespace burdockwheel::trace
