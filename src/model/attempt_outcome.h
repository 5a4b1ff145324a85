// How one sending of a call to a worker ended.
#pragma once

#include <chrono>
#include <optional>

namespace burdockwheel::model {

enum class AttemptResult {
  // The whole answer arrived. An answer of any status counts as a run.
  kAnswered,
  // The worker refused the call and stated that it did not run it.
  kRefused,
  // No connection could be opened, or none of the request was written.
  kNotSent,
  // Part of the request was written and no whole answer came back; the call
  // may have run.
  kBroken,
  // The deadline passed after the request was written; the call may have run.
  kTimedOut,
  // The host itself gave the attempt up; the call may have run.
  kCancelled,
};

// A worker's own statement of its load, carried by its answers. It may mislead.
struct WorkerReport {
  int calls_in_flight = 0;  // running on the worker's slots, from all hosts
  int calls_queued = 0;     // accepted by the worker and not yet running
  bool is_draining = false;
};

struct AttemptOutcome {
  AttemptResult result = AttemptResult::kAnswered;
  int status = 0;  // the HTTP status, or 0 without an answer
  std::chrono::nanoseconds latency{0};
  std::optional<WorkerReport> report;
  // The answer states that the system has already spent what it may on trying
  // again further down; no level above tries again.
  bool is_retry_forbidden = false;
};

// Tells whether the outcome proves that the worker did not run the call.
constexpr bool IsProofOfNotRun(AttemptResult result) {
  return result == AttemptResult::kRefused || result == AttemptResult::kNotSent;
}

}  // namespace burdockwheel::model
