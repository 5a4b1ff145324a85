// A host's connection to its peers.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "kernel/result.h"
#include "model/identifiers.h"
#include "peer/envelope.h"
#include "peer/peer_message.h"
#include "peer/peer_transport.h"
#include "peer/transport_failure.h"
#include "settings/host_settings.h"

namespace burdockwheel::host {

// Returns the address that peers send to.
std::string PeerAddressOf(const settings::HostSettings& settings);

// Seals what is sent and opens what arrives. Send may be called on any thread.
class PeerPort {
 public:
  struct Hooks {
    // Takes each authentic message, on the transport's thread.
    std::function<void(peer::PeerMessage)> receive;
    // Tells whether messages to an address are dropped; empty outside of tests.
    std::function<bool(const std::string& address)> should_drop;
  };

  PeerPort(const settings::HostSettings& settings,
           model::Incarnation incarnation, Hooks hooks);
  ~PeerPort();

  kernel::Result<std::monostate, peer::TransportFailure> TryOpen();

  // Seals and sends; returns false if the message was dropped at once.
  [[nodiscard]] bool TrySend(const std::string& address, peer::MessageKind kind,
                             std::string body);

 private:
  void OnBytes(const peer::MessageBytes& bytes);

  std::string listen_address;
  model::HostId host;
  model::Incarnation incarnation;
  Hooks hooks;
  peer::Envelope envelope;
  std::unique_ptr<peer::PeerTransport> transport;
};

}  // namespace burdockwheel::host
