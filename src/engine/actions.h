// What the call engine wants done: its output.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "load/load_watch.h"
#include "model/identifiers.h"
#include "model/refusal.h"
#include "routing/choice_evidence.h"

namespace burdockwheel::engine {

// Why an attempt is made.
enum class AttemptCause { kFirstTry, kRetry, kHedge };

// Send the call to the worker; AttemptEnded must follow, at the deadline at the
// latest.
struct StartAttempt {
  model::CallId call;
  model::AttemptId attempt;
  model::WorkerId worker;
  kernel::Instant deadline;
  AttemptCause cause = AttemptCause::kFirstTry;
  routing::ChoiceEvidence evidence;
};

// Note that the call waits for a worker.
struct RecordQueued {
  model::CallId call;
  std::string evidence;  // key=value pairs of what it waits for
};

// Give up an attempt whose answer is no longer wanted. AttemptEnded must
// follow, if it has not yet.
struct CancelAttempt {
  model::CallId call;
  model::AttemptId attempt;
};

// Give the caller the answer of this attempt. Ends the call. The attempt may
// have ended earlier: the answers of a call's attempts are kept until the call
// ends, since a failing answer is relayed only if no better one comes.
struct RelayAnswer {
  model::CallId call;
  model::AttemptId attempt;
};

// Tell the caller that the system itself failed the call. Ends the call. The
// answer must carry the mark that sets
// model::AttemptOutcome::is_retry_forbidden on the hosts of the levels above.
struct RefuseCall {
  model::CallId call;
  model::Refusal refusal;
  std::string evidence;  // key=value pairs of what led to it
};

// Ask the worker for its load; ProbeAnswered or ProbeFailed follows.
struct SendProbe {
  model::WorkerId worker;
  model::ServiceName service;
};

// Tell peers what was measured; it may be lost.
struct ShareLoad {
  load::LoadShare share;
};

// Hand the event TimerFired in at this time. The newest WakeAt counts.
struct WakeAt {
  kernel::Instant time;
};

// Stands in place of a worker in word of a whole answer.
constexpr std::string_view kAnsweredWorkerPlaceholder = "answered";

// Tell all peers that a fingerprint is suspected: CrashSuspected with the same
// contents is their event. Peers keep the highest count for each worker and add
// over workers, so that late and doubled messages change nothing. The engine
// repeats it a few times itself; delivery need not be reliable. Peers do not
// pass it on.
struct ShareCrashSuspicion {
  std::uint64_t fingerprint = 0;
  model::ServiceName service;
  model::WorkerId worker;
  // Of this worker by this fingerprint, as far as is known. With
  // kAnsweredWorkerPlaceholder in place of a worker: how many of the
  // fingerprint's crashes a whole answer has shown to have other causes.
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

using Action = std::variant<StartAttempt, RecordQueued, CancelAttempt,
                            RelayAnswer, RefuseCall, SendProbe, ShareLoad,
                            WakeAt, ShareCrashSuspicion, RecordChange>;

// The actions of one event, in the order in which they are to be done.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::engine
