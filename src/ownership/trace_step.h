// One step of a recorded trace of entry hosts, and its form as a line of JSON.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace burdockwheel::ownership {

enum class StepKind {
  kNote,        // text: says what the trace shows
  kStart,       // host: starts, or restarts with a new incarnation
  kKill,        // host: ends at once, with all that it knew
  kPause,       // host: handles nothing until it is resumed
  kResume,      // host
  kStop,        // host: begins its planned stop
  kView,        // host: holds `hosts` to be alive, in their present lives
  kLeft,        // host: learns that `peer` has left, and who holds its ledger
  kIssue,       // host: issues a key, which the trace calls `key`
  kCall,        // host: gets the call `call` with `key`, `caller` and `body`
  kCallerGone,  // the caller of `call` goes away
  kEndRun,      // the oldest run of `key` in flight ends by `run_end`
  kDeliver,     // the message of number `index` from `host` to `peer` arrives
  kRepeat,      // the same, and it stays on its way
  kLose,        // the same message is lost
  kSettle,      // messages arrive until none is on its way, but on cut links
  kCut,         // `host` can send nothing to `peer`
  kHeal,        // undoes kCut
  kPass,        // `duration` passes
  kExpect,      // `call` has had `outcome`, for `reason` unless that is empty
  kExpectRuns,  // `key` has been run `count` times
};

// What a caller has been told.
enum class CallOutcome { kWaiting, kAnswered, kNotRun, kUnknown, kLost };

// How a run ends.
enum class RunEnd {
  kAnswered,
  kOverloaded,  // refused before anything was sent to a worker
  kLate,        // the deadline passed before anything was sent to a worker
  kBroken,      // the connection broke; the worker may have run the call
};

struct TraceStep {
  StepKind kind = StepKind::kNote;
  std::string host;
  std::string peer;
  std::string key;
  std::string caller;
  std::string body;
  std::string reason;  // the name of a RefusalReason
  std::string text;
  std::vector<std::string> hosts;
  std::uint64_t call = 0;
  std::uint64_t index = 0;
  std::uint64_t count = 0;
  std::chrono::milliseconds duration{0};  // of kPass; a call's deadline
  RunEnd run_end = RunEnd::kAnswered;
  CallOutcome outcome = CallOutcome::kWaiting;
};

enum class StepParseFailure { kNotJson, kUnknownName, kWrongType };

// Parses a JSON object; absent members keep their defaults.
kernel::Result<TraceStep, StepParseFailure> ParseTraceStep(
    std::string_view line);

// Returns one line without its end.
std::string TraceStepLine(const TraceStep& step);

}  // namespace burdockwheel::ownership
