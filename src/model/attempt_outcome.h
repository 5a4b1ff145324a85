// How one sending of a call to a worker ended.
#pragma once

#include <chrono>
#include <optional>
#include <string_view>

namespace burdockwheel::model {

enum class AttemptResult {
  // The whole answer arrived. An answer of any status counts as a run.
  kAnswered,
  // The worker refused the call and stated that it did not run it.
  kRefused,
  // Another worker answered at the address and did not run the call.
  kMisdirected,
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

// Why an attempt has no answer.
enum class BreakCause {
  kNone,
  kUnknownWorker,   // the worker is no longer listed
  kNoConnection,    // the bound of connections to the worker is reached
  kConnectRefused,  // nobody listens at the address
  kConnectTimeout,  // the connection was not opened in time
  kReset,           // the connection was reset
  kClosed,          // the worker closed the connection before a whole answer
  kSurplus,         // bytes came that no request had asked for
  kMalformed,       // the bytes are no answer
  kTooLarge,        // the answer has more bytes than one may have
  kNoMemory,        // unfinished answers took all the memory that they may
  kCorrupt,         // the answer is not what the worker made
  kDeadline,        // no whole answer came in time
  kCancelled,       // the host gave the attempt up
};

// Returns a short fixed name, such as "connect-refused".
std::string_view BreakCauseName(BreakCause cause);

// A worker's own statement of its load, carried by its answers. It may mislead.
struct WorkerReport {
  int calls_in_flight = 0;  // running on the worker's slots, from all hosts
  int calls_queued = 0;     // accepted by the worker and not yet running
  bool is_draining = false;
  int slots = 0;  // calls that it runs at the same time; 0 if it does not say
  // How long work takes on its machine at this moment, as a multiple of the
  // usual time. Neighbours on the machine change it within milliseconds.
  std::optional<double> slowdown = std::nullopt;
  // How much longer the worker is cold; only answers to probes tell.
  std::optional<std::chrono::milliseconds> warm_up = std::nullopt;
};

// What a worker's answer asks of the host that sent the request.
struct WorkerNotice {
  // The worker ends soon: this life of it takes no further request.
  bool is_leaving = false;
  // The worker wants no request from this host for so long; zero: not asked.
  std::chrono::milliseconds pause{0};

  friend bool operator==(const WorkerNotice&, const WorkerNotice&) = default;
};

struct AttemptOutcome {
  AttemptResult result = AttemptResult::kAnswered;
  int status = 0;  // the HTTP status, or 0 without an answer
  std::chrono::nanoseconds latency{0};
  std::optional<WorkerReport> report;
  // The answer states that the system has already spent what it may on trying
  // again further down; no level above tries again.
  bool is_retry_forbidden = false;
  // Callers take the answer for a promise that the call has not run.
  bool is_promise_of_not_run = false;
  BreakCause cause = BreakCause::kNone;
  WorkerNotice notice = {};
};

// Tells whether the outcome proves that the worker did not run the call.
constexpr bool IsProofOfNotRun(AttemptResult result) {
  return result == AttemptResult::kRefused ||
         result == AttemptResult::kMisdirected ||
         result == AttemptResult::kNotSent;
}

// Returns a short fixed name, such as "not-sent".
std::string_view AttemptResultName(AttemptResult result);

}  // namespace burdockwheel::model
