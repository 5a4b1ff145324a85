// The sending side of the connection to one peer.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <mutex>
#include <string>

#include "kernel/instant.h"
#include "kernel/result.h"
#include "peer/nng_handles.h"
#include "peer/peer_transport.h"
#include "peer/transport_failure.h"

namespace burdockwheel::peer {

// A dialer that connects and reconnects in the background, and the bounded
// queue of messages that wait for it. Messages that cannot be handed to the
// connection within kSendTimeout are dropped with all that wait behind them.
class PushLink {
 public:
  static constexpr std::chrono::milliseconds kSendTimeout{2000};
  static constexpr std::chrono::milliseconds kReconnectMin{50};
  static constexpr std::chrono::milliseconds kReconnectMax{1000};
  static constexpr std::size_t kMostQueuedMessages = 1024;
  static constexpr std::size_t kMostQueuedBytes = std::size_t{4} << 20U;

  // Starts to dial `address`, an IP number and port.
  static kernel::Result<std::unique_ptr<PushLink>, TransportFailure> Open(
      const std::string& address);

  ~PushLink();
  PushLink(const PushLink&) = delete;
  PushLink& operator=(const PushLink&) = delete;

  // Queues a message. Returns false if the queue is full.
  [[nodiscard]] bool TrySend(const MessageBytes& message);

  // Time of the newest TrySend; kept by the owner of the link.
  kernel::Instant last_used;

 private:
  PushLink() = default;
  static void HandleSent(void* link);
  void SendNext();
  void DropQueue();

  std::mutex mutex;
  bool is_closing = false;
  bool is_sending = false;
  std::size_t queued_bytes = 0;
  std::deque<NngMessage> queue;
  NngSocket socket;
  NngAio aio;
};

}  // namespace burdockwheel::peer
