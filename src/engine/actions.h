// What the call engine wants done: its output.
#pragma once

#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "model/refusal.h"

namespace burdockwheel::engine {

// Send the call to the worker; AttemptEnded must follow.
struct StartAttempt {
  model::CallId call;
  model::AttemptId attempt;
  model::WorkerAddress worker;
  kernel::Instant deadline;
};

// Give up an attempt whose answer is no longer wanted. AttemptEnded must
// follow, if it has not yet.
struct CancelAttempt {
  model::CallId call;
  model::AttemptId attempt;
};

// Give the caller the answer of this attempt. Ends the call.
struct RelayAnswer {
  model::CallId call;
  model::AttemptId attempt;
};

// Tell the caller that the system itself failed the call. Ends the call.
struct RefuseCall {
  model::CallId call;
  model::Refusal refusal;
};

// Ask the worker for its load; ProbeAnswered follows or nothing.
struct SendProbe {
  model::WorkerAddress worker;
  model::ServiceName service;
};

// Hand the event TimerFired in at this time. The newest WakeAt counts.
struct WakeAt {
  kernel::Instant time;
};

// Tell peers that a fingerprint is suspected.
struct ShareCrashSuspicion {
  std::uint64_t fingerprint = 0;
  model::ServiceName service;
  int crashes = 0;
};

// Note a change of standing, policy or mode in the audit trail.
struct RecordChange {
  std::string subject;   // such as "worker 127.0.0.1:8080"
  std::string from;      // the state before
  std::string to;        // the state after
  std::string cause;     // a short fixed name, such as "fast-failures"
  std::string evidence;  // the figures that led to it
};

using Action =
    std::variant<StartAttempt, CancelAttempt, RelayAnswer, RefuseCall,
                 SendProbe, WakeAt, ShareCrashSuspicion, RecordChange>;

// The actions of one event, in the order in which they are to be done.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::engine
