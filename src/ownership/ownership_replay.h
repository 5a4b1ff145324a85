// Replays recorded traces of ownership against their stated outcomes.
#pragma once

#include <cstddef>
#include <istream>
#include <string>
#include <variant>

#include "kernel/result.h"
#include "ownership/trace_player.h"
#include "ownership/trace_step.h"

namespace burdockwheel::ownership {

struct ReplaySummary {
  std::size_t steps = 0;
  std::size_t expectations = 0;  // steps that state an outcome
};

struct ReplayFailure {
  std::size_t line = 0;  // from 1; one past the last for the end of the trace
  std::variant<StepParseFailure, StepError, Violation> cause;
};

// Returns a short fixed name of the cause, such as "ran-twice".
std::string ReplayFailureName(const ReplayFailure& failure);

// Plays a trace of JSON lines; empty lines are skipped. Stops at the first step
// that cannot be played, breaks what must always hold, or ends otherwise than
// the trace states.
kernel::Result<ReplaySummary, ReplayFailure> ReplayOwnershipTrace(
    std::istream& trace);

}  // namespace burdockwheel::ownership
