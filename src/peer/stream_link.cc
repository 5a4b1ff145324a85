#include "peer/stream_link.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <boost/endian/conversion.hpp>
#include <utility>

namespace burdockwheel::peer {

namespace {

constexpr std::size_t kLengthBytes = 4;

std::string Framed(const MessageBytes& message) {
  std::string frame(kLengthBytes, '\0');
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char*>(frame.data()),  // NOLINT
      static_cast<std::uint32_t>(message.size()));
  frame += message;
  return frame;
}

}  // namespace

StreamLink::StreamLink(boost::asio::io_context& context,
                       const boost::asio::ip::tcp::endpoint& endpoint)
    : endpoint(endpoint),
      socket(context),
      timeout(context),
      last_used(std::chrono::steady_clock::now()) {}

bool StreamLink::TrySend(const MessageBytes& message) {
  this->last_used = std::chrono::steady_clock::now();
  if (this->queue.size() >= kMostQueuedMessages ||
      this->queued_bytes + message.size() > kMostQueuedBytes)
    return false;
  this->queue.push_back(Framed(message));
  this->queued_bytes += message.size();
  if (this->is_connected) {
    this->WriteNext();
  } else {
    this->Connect();
  }
  return true;
}

void StreamLink::Close() { this->Drop(); }

void StreamLink::Connect() {
  if (this->is_connecting) return;
  this->is_connecting = true;
  const auto present = ++this->generation;
  this->timeout.expires_after(kSendTimeout);
  this->timeout.async_wait([weak_self = this->weak_from_this(),
                            present](const boost::system::error_code& error) {
    const auto self = weak_self.lock();
    if (error || !self || present != self->generation) return;
    self->Drop();
  });
  this->socket.async_connect(
      this->endpoint, [self = this->shared_from_this(),
                       present](const boost::system::error_code& error) {
        if (present != self->generation) return;
        self->is_connecting = false;
        if (error) {
          self->Drop();
          return;
        }
        self->timeout.cancel();
        self->is_connected = true;
        boost::system::error_code ignored;
        self->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->WriteNext();
      });
}

void StreamLink::WriteNext() {
  if (this->is_writing || this->queue.empty()) return;
  this->is_writing = true;
  const auto present = this->generation;
  this->timeout.expires_after(kSendTimeout);
  this->timeout.async_wait([weak_self = this->weak_from_this(),
                            present](const boost::system::error_code& error) {
    const auto self = weak_self.lock();
    if (error || !self || present != self->generation) return;
    self->Drop();
  });
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->queue.front()),
      [self = this->shared_from_this(), present](
          const boost::system::error_code& error, std::size_t size) {
        if (present != self->generation) return;
        self->timeout.cancel();
        self->is_writing = false;
        if (error) {
          self->Drop();
          return;
        }
        self->queued_bytes -= size - kLengthBytes;
        self->queue.pop_front();
        self->WriteNext();
      });
}

// What met a broken connection is lost; the next message opens a new one.
void StreamLink::Drop() {
  ++this->generation;
  this->timeout.cancel();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  this->is_connecting = false;
  this->is_connected = false;
  this->is_writing = false;
  this->queue.clear();
  this->queued_bytes = 0;
}

}  // namespace burdockwheel::peer
