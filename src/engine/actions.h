// The actions that the call engine asks its host to perform.
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

// Why an attempt was started.
enum class AttemptCause { kFirstTry, kRetry, kHedge };

// Send the call to the worker. AttemptEnded must follow by the deadline.
struct StartAttempt {
  model::CallId call;
  model::AttemptId attempt;
  model::WorkerId worker;
  kernel::Instant deadline;
  AttemptCause cause = AttemptCause::kFirstTry;
  routing::ChoiceEvidence evidence;
};

// Record that the call was queued because no worker may take it now.
struct RecordQueued {
  model::CallId call;
  std::string evidence;  // key=value pairs that say why it was queued
};

// Cancel an attempt whose answer is no longer needed. AttemptEnded must follow
// unless it has been handled already.
struct CancelAttempt {
  model::CallId call;
  model::AttemptId attempt;
};

// Relay this attempt's answer to the caller. Ends the call. The attempt may
// have ended earlier: the host keeps the answers of a call's attempts until the
// call ends, since an error answer is relayed only if no better one arrives.
struct RelayAnswer {
  model::CallId call;
  model::AttemptId attempt;
};

// Answer the caller with an error of the load balancer itself. Ends the call.
// The answer must carry the header that sets
// model::AttemptOutcome::is_retry_forbidden on the hosts of the levels above.
struct RefuseCall {
  model::CallId call;
  model::Refusal refusal;
  std::string evidence;  // key=value pairs that justify the refusal
};

// Probe the worker for its load. ProbeAnswered or ProbeFailed follows.
struct SendProbe {
  model::WorkerId worker;
  model::ServiceName service;
};

// Send load measurements to peers. Delivery need not be reliable.
struct ShareLoad {
  load::LoadShare share;
};

// Deliver TimerFired at this time. A newer WakeAt replaces the earlier one.
struct WakeAt {
  kernel::Instant time;
};

// Replaces the worker in a ShareCrashSuspicion that reports a complete answer.
constexpr std::string_view kAnsweredWorkerPlaceholder = "answered";

// Tell all peers that calls with a fingerprint may crash workers. Each peer
// handles it as CrashSuspected with the same contents. Peers keep the highest
// count for each worker and sum over workers, so that late and duplicate
// messages have no effect. The engine repeats the message a few times itself,
// so delivery need not be reliable. Peers do not forward it.
struct ShareCrashSuspicion {
  std::uint64_t fingerprint = 0;
  model::ServiceName service;
  model::WorkerId worker;
  // The known crashes of this worker by this fingerprint. If the worker is
  // kAnsweredWorkerPlaceholder: how many of the fingerprint's crashes a
  // complete answer has shown to have other causes.
  int crashes = 0;
};

// Record a change of standing, policy or mode in the audit trail.
struct RecordChange {
  std::string subject;   // such as "worker 127.0.0.1:8080"
  std::string from;      // the state before
  std::string to;        // the state after
  std::string cause;     // a short fixed name, such as "fast-failures"
  std::string evidence;  // key=value pairs that justify the change
};

using Action = std::variant<StartAttempt, RecordQueued, CancelAttempt,
                            RelayAnswer, RefuseCall, SendProbe, ShareLoad,
                            WakeAt, ShareCrashSuspicion, RecordChange>;

// The actions of one event, in the order in which they must be performed.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::engine
