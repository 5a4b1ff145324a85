#include "peer/stream_inlet.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/read.hpp>
#include <boost/endian/conversion.hpp>
#include <utility>

#include "peer/peer_message.h"

namespace burdockwheel::peer {

StreamInlet::StreamInlet(boost::asio::ip::tcp::socket socket,
                         PeerTransport::Receiver receive,
                         std::function<void(StreamInlet*)> on_closed)
    : socket(std::move(socket)),
      receive(std::move(receive)),
      on_closed(std::move(on_closed)) {}

void StreamInlet::Start() { this->ReadLength(); }

void StreamInlet::Close() {
  this->on_closed = nullptr;
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

void StreamInlet::ReadLength() {
  boost::asio::async_read(
      this->socket, boost::asio::buffer(this->length),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*size*/) {
        if (error) {
          self->End();
          return;
        }
        const auto size = boost::endian::load_big_u32(self->length.data());
        if (size > kMostMessageBytes) {
          self->End();
          return;
        }
        self->message.assign(size, '\0');
        self->ReadMessage();
      });
}

void StreamInlet::ReadMessage() {
  boost::asio::async_read(
      this->socket, boost::asio::buffer(this->message),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*size*/) {
        if (error || !self->socket.is_open()) {
          self->End();
          return;
        }
        self->receive(std::move(self->message));
        self->ReadLength();
      });
}

void StreamInlet::End() {
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (const auto closed = std::exchange(this->on_closed, nullptr)) closed(this);
}

}  // namespace burdockwheel::peer
