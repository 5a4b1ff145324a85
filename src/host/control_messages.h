// What the control and serving threads tell each other.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "engine/actions.h"
#include "engine/events.h"
#include "host/configuration_in_force.h"
#include "model/identifiers.h"
#include "model/known_host.h"
#include "model/worker_record.h"
#include "ownership/ownership_events.h"
#include "peer/peer_message.h"

namespace burdockwheel::host {

// A configuration was accepted.
struct ConfigurationChanged {
  std::shared_ptr<const ConfigurationInForce> in_force;
};

// The platform's list of workers was read.
struct WorkersChanged {
  std::vector<model::WorkerRecord> workers;
};

// The peers that are held to be alive, and where all known ones are reached.
struct PeersChanged {
  std::map<model::HostId, std::string> addresses;
  std::vector<ownership::PeerIdentity> alive;
  std::vector<load::WatchingPeer> watching;
  std::vector<model::KnownHost> known_hosts;  // gone ones included
};

// Whether this host may take calls, as far as its configuration goes.
struct ReadinessTold {
  bool is_ready = false;
};

using ServingMessage =
    std::variant<std::monostate, ConfigurationChanged, WorkersChanged,
                 PeersChanged, ReadinessTold, ownership::PeerLeft,
                 engine::CrashSuspected, engine::PeerLoadReceived>;

// The planned stop of this host has begun.
struct StopAnnounced {};

// This host's keys are sealed, and these hosts hold its ledger.
struct LedgerHandedOver {
  std::vector<model::HostId> holders;
};

// A message of the serving thread to a peer.
struct PeerMessageToSend {
  std::string address;
  peer::MessageKind kind = peer::MessageKind::kForwardCall;
  std::string body;
};

using ControlMessage =
    std::variant<std::monostate, engine::ShareCrashSuspicion, StopAnnounced,
                 load::LoadShare, LedgerHandedOver, PeerMessageToSend>;

}  // namespace burdockwheel::host
