// What happens to the keys of a host: the input of the ownership coordinator.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "ownership/forwarded_call.h"
#include "ownership/idempotency_key.h"
#include "peer/peer_message.h"

namespace burdockwheel::ownership {

// A run that this host started; the sequence number of its key.
using RunId = model::TypedId<struct RunIdTag, std::uint64_t>;

// The name of one life of an entry host.
struct PeerIdentity {
  model::HostId host;
  model::Incarnation incarnation;

  // NOLINTNEXTLINE(modernize-use-nullptr): see TypedId.
  friend auto operator<=>(const PeerIdentity&, const PeerIdentity&) = default;
};

// A caller asked for a key. Answered by GiveKey or AnswerCaller.
struct KeyWanted {
  model::CallId call;
  KeyNonce nonce;  // drawn at random
};

// A call with a key was read whole from a caller. Answered by AnswerCaller, at
// the deadline at the latest.
struct CallWithKey {
  model::CallId call;
  ForwardedCall payload;
  kernel::Instant deadline;
};

// The caller has gone away; nobody waits for the answer. A run goes on, as the
// caller may send the call again.
struct CallerGone {
  model::CallId call;
};

// A peer sent a message of the kinds kForwardCall, kForwardAnswer, kLedgerPart,
// kLedgerQuery or kLedgerAnswer.
struct PeerMessageArrived {
  peer::PeerMessage message;
};

// The transport dropped a message of SendToPeer at once.
struct PeerSendFailed {
  model::HostId peer;
  ForwardId request;
};

// A run that was asked for by RunCall has ended. A refusal with kNotRun states
// that no worker has run the call and none will.
struct RunEnded {
  RunId run;
  CallResult result;
};

// A time that the coordinator asked to be woken at has come.
struct TimerFired {};

// The peers that are held to be alive, all of them, without this host. It may
// be wrong: what is decided from it is whom to ask, never who may run.
struct PeersAlive {
  std::vector<PeerIdentity> peers;
};

// A peer has stopped as planned and named who holds its ledger.
struct PeerLeft {
  PeerIdentity peer;
  std::vector<model::HostId> holders;
};

// The host has seen a gap in its own clock, and what it is about to read may
// have waited for as long. To be handed in before that.
struct PauseNoticed {};

// The host begins its planned stop. HandOverEnded follows.
struct StopBegun {};

using Event =
    std::variant<KeyWanted, CallWithKey, CallerGone, PeerMessageArrived,
                 PeerSendFailed, RunEnded, TimerFired, PeersAlive, PeerLeft,
                 PauseNoticed, StopBegun>;

}  // namespace burdockwheel::ownership
