// The sending side of the stream to one peer.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <deque>
#include <memory>
#include <string>

#include "kernel/instant.h"
#include "peer/peer_transport.h"

namespace burdockwheel::peer {

// A connection that opens when there is something to send, and the bounded
// queue of messages that wait for it. Each message goes out as its length, four
// bytes in network order, and its bytes. Messages that cannot be handed to the
// connection within kSendTimeout are dropped with all that wait behind them.
// Runs on the io_context's thread.
class StreamLink : public std::enable_shared_from_this<StreamLink> {
 public:
  // Peers answer within a second or have time-outs of their own.
  static constexpr std::chrono::milliseconds kSendTimeout{2000};
  static constexpr std::size_t kMostQueuedMessages = 1024;
  static constexpr std::size_t kMostQueuedBytes = std::size_t{4} << 20U;

  StreamLink(boost::asio::io_context& context,
             const boost::asio::ip::tcp::endpoint& endpoint);

  // Queues a message. Returns false if the queue is full.
  [[nodiscard]] bool TrySend(const MessageBytes& message);

  void Close();

  kernel::Instant LastUsed() const { return this->last_used; }

 private:
  void Connect();
  void WriteNext();
  void Drop();

  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timeout;
  std::deque<std::string> queue;  // framed
  std::size_t queued_bytes = 0;
  kernel::Instant last_used;
  bool is_connecting = false;
  bool is_connected = false;
  bool is_writing = false;
  std::uint64_t generation = 0;  // rises with each connection
};

}  // namespace burdockwheel::peer
