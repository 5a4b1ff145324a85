// What the ownership coordinator wants done: its output.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "ownership/forwarded_call.h"
#include "ownership/ownership_events.h"
#include "peer/peer_message.h"

namespace burdockwheel::ownership {

// Send the call to a worker, at most once and not after the deadline. RunEnded
// must follow in all cases.
struct RunCall {
  RunId run;
  ForwardedCall payload;
  kernel::Instant deadline;
};

// Give the caller the result. Ends the call.
struct AnswerCaller {
  model::CallId call;
  CallResult result;
};

// Give the caller a new key. Ends the call.
struct GiveKey {
  model::CallId call;
  std::string key;
};

// Send a message; PeerSendFailed may follow.
struct SendToPeer {
  model::HostId peer;
  peer::MessageKind kind = peer::MessageKind::kForwardCall;
  std::string body;
  ForwardId request;  // of a forwarded call or query; else 0
};

// Hand the event TimerFired in at this time. The newest WakeAt counts.
struct WakeAt {
  kernel::Instant time;
};

// Note a change in the audit trail.
struct RecordChange {
  std::string subject;   // such as "ledger"
  std::string from;      // the state before
  std::string to;        // the state after
  std::string cause;     // a short fixed name, such as "planned-stop"
  std::string evidence;  // the figures that led to it
};

// The planned stop is over as far as keys go: no run is in flight, and these
// hosts hold the whole ledger. Peers are to be told in PeerLeft.
struct HandOverEnded {
  std::vector<model::HostId> holders;
};

using Action = std::variant<RunCall, AnswerCaller, GiveKey, SendToPeer, WakeAt,
                            RecordChange, HandOverEnded>;

// Returns the AnswerCaller that gives this result.
Action AnswerWith(model::CallId call, CallResult result);

// The actions of one event, in the order in which they are to be done.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::ownership
