// The narrow interface through which a host sends messages to its peers.
#pragma once

#include <functional>
#include <string>

#include "model/identifiers.h"

namespace burdockwheel::peer {

// The bytes of one message between entry hosts.
using MessageBytes = std::string;

// How a message travels.
enum class Delivery {
  kDatagram,  // small, and replaced by a newer one if it is lost
  kStream,    // of any size, repeated by the network until it arrives
};

// Sends messages to peers without waiting. A message may be lost, delayed,
// repeated or overtaken; whoever sends it sets its own time limit.
class PeerTransport {
 public:
  // Receives the messages of peers; called on the transport's own thread.
  using Receiver = std::function<void(MessageBytes message)>;

  virtual ~PeerTransport() = default;

  // Hands a message to the network. `address` is an IP number and port.
  // Returns false if it was dropped at once.
  [[nodiscard]] virtual bool TrySend(const std::string& address,
                                     Delivery delivery,
                                     MessageBytes message) = 0;
};

}  // namespace burdockwheel::peer
