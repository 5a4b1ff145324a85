// The receiving side of the stream from one peer.
#pragma once

#include <array>
#include <boost/asio/ip/tcp.hpp>
#include <functional>
#include <memory>
#include <string>

#include "peer/peer_transport.h"

namespace burdockwheel::peer {

// Reads messages until the peer closes the connection or breaks the framing.
// Runs on the io_context's thread.
class StreamInlet : public std::enable_shared_from_this<StreamInlet> {
 public:
  StreamInlet(boost::asio::ip::tcp::socket socket,
              PeerTransport::Receiver receive,
              std::function<void(StreamInlet*)> on_closed);

  void Start();
  void Close();

 private:
  void ReadLength();
  void ReadMessage();
  void End();

  boost::asio::ip::tcp::socket socket;
  PeerTransport::Receiver receive;
  std::function<void(StreamInlet*)> on_closed;
  std::array<unsigned char, 4> length{};
  std::string message;
};

}  // namespace burdockwheel::peer
