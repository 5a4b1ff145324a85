// Carries messages between entry hosts over TCP by nng's pipeline protocol.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "kernel/instant.h"
#include "kernel/result.h"
#include "peer/nng_handles.h"
#include "peer/peer_transport.h"
#include "peer/transport_failure.h"

namespace burdockwheel::peer {

class PushLink;

// One listener for all peers and one dialer for each peer that messages are
// sent to. The methods may be called on any thread.
class NngTransport : public PeerTransport {
 public:
  // A dialer that was not used for this long is closed.
  static constexpr std::chrono::seconds kIdleLinkTimeout{60};
  // Beyond it the dialer that was unused for longest is closed.
  static constexpr std::size_t kMostLinks = 512;

  struct Hooks {
    // Receives each message, on the transport's own thread.
    Receiver receive;
    // Tells whether messages to this address are to be dropped, as a cut link
    // would. Empty outside of tests.
    std::function<bool(const std::string& address)> should_drop;
  };

  // Listens on `address`, an IP number and port of this host; port 0 takes a
  // free one.
  static kernel::Result<std::unique_ptr<NngTransport>, TransportFailure> Open(
      const std::string& address, Hooks hooks);

  ~NngTransport() override;
  NngTransport(const NngTransport&) = delete;
  NngTransport& operator=(const NngTransport&) = delete;

  // Returns false if the message is too large, the link's queue is full, the
  // address is bad, or the test hook drops it. True says nothing of arrival.
  [[nodiscard]] bool TrySend(const std::string& address,
                             MessageBytes message) override;

  // The IP number and port that are listened on.
  const std::string& ListenAddress() const { return this->listen_address; }

  std::size_t LinkCount();

 private:
  explicit NngTransport(Hooks hooks);
  void ReceiveUntilClosed();
  PushLink* LinkOrNull(const std::string& address, kernel::Instant now);
  void CloseIdleLinks(kernel::Instant now);
  void CloseLongestUnusedLink();

  Hooks hooks;
  std::string listen_address;
  std::mutex mutex;
  std::map<std::string, std::unique_ptr<PushLink>> links;
  kernel::Instant next_idle_check;
  NngSocket pull;
  std::thread receiver;
};

}  // namespace burdockwheel::peer
