// A host's connection to its peers.
#pragma once

#include <boost/asio/io_context.hpp>
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

// Seals what is sent and opens what arrives; where the settings hold no keys,
// messages go as they are. Runs on the io_context's thread.
class PeerPort {
 public:
  struct Hooks {
    std::function<void(const peer::PeerMessage&)> receive;
    // Tells whether messages to an address are dropped; empty outside of tests.
    std::function<bool(const std::string& address)> should_drop;
  };

  PeerPort(boost::asio::io_context& context,
           const settings::HostSettings& settings,
           model::Incarnation incarnation, Hooks hooks);
  ~PeerPort();

  kernel::Result<std::monostate, peer::TransportFailure> TryOpen();

  // Returns false if the message was dropped at once.
  [[nodiscard]] bool TrySend(const std::string& address, peer::MessageKind kind,
                             std::string body);

 private:
  void OnBytes(const peer::MessageBytes& bytes);

  boost::asio::io_context& context;
  std::string listen_address;
  model::HostId host;
  model::Incarnation incarnation;
  Hooks hooks;
  std::unique_ptr<peer::Envelope> envelope;  // none without keys
  std::unique_ptr<peer::PeerTransport> transport;
};

}  // namespace burdockwheel::host
