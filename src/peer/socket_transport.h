// Carries messages between entry hosts over UDP and TCP.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "kernel/instant.h"
#include "kernel/lifetime.h"
#include "kernel/result.h"
#include "peer/peer_transport.h"
#include "peer/transport_failure.h"

namespace burdockwheel::peer {

class StreamInlet;
class StreamLink;

// Datagrams and streams on the same IP number and port. Runs on the
// io_context's thread; no method may be called on another.
class SocketTransport : public PeerTransport {
 public:
  // Fits one packet of the usual networks together with its headers.
  static constexpr std::size_t kMostDatagramBytes = 1400;
  // A stream that was not used for this long is closed.
  static constexpr std::chrono::seconds kIdleLinkTimeout{60};
  // Beyond it the stream that was unused for longest is closed.
  static constexpr std::size_t kMostLinks = 512;

  struct Hooks {
    Receiver receive;
    // Tells whether messages to this address are to be dropped, as a cut link
    // would. Empty outside of tests.
    std::function<bool(const std::string& address)> should_drop;
  };

  // Opens `address`, an IP number and port of this host; port 0 takes a free
  // one.
  static kernel::Result<std::unique_ptr<SocketTransport>, TransportFailure>
  Open(boost::asio::io_context& context, const std::string& address,
       Hooks hooks);

  ~SocketTransport() override;
  SocketTransport(const SocketTransport&) = delete;
  SocketTransport& operator=(const SocketTransport&) = delete;

  // Returns false if the message is too large, the queue is full, the address
  // is bad, or the test hook drops it. True says nothing of arrival.
  [[nodiscard]] bool TrySend(const std::string& address, Delivery delivery,
                             MessageBytes message) override;

  // The IP number and port that are listened on.
  const std::string& ListenAddress() const { return this->listen_address; }

  std::size_t LinkCount() const { return this->links.size(); }

 private:
  SocketTransport(boost::asio::io_context& context, Hooks hooks);
  void ReceiveDatagram();
  void Accept();
  [[nodiscard]] bool TrySendDatagram(const std::string& address,
                                     const MessageBytes& message);
  StreamLink& LinkTo(const std::string& address,
                     const boost::asio::ip::tcp::endpoint& endpoint);
  void CloseIdleLinks(kernel::Instant now);
  void CloseLongestUnusedLink();

  boost::asio::io_context& context;
  Hooks hooks;
  std::string listen_address;
  boost::asio::ip::udp::socket datagrams;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, kMostDatagramBytes + 1> datagram{};
  boost::asio::ip::tcp::acceptor acceptor;
  std::map<std::string, std::shared_ptr<StreamLink>> links;
  std::map<StreamInlet*, std::shared_ptr<StreamInlet>> inlets;
  kernel::Instant next_idle_check;
  kernel::Lifetime lifetime;
};

}  // namespace burdockwheel::peer
