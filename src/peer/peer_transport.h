// The narrow interface through which a host sends messages to its peers.
#pragma once

#include <functional>
#include <string>

#include "model/identifiers.h"

namespace burdockwheel::peer {

// The sealed bytes of one message between entry hosts.
using MessageBytes = std::string;

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
                                     MessageBytes message) = 0;
};

}  // namespace burdockwheel::peer
