#include "stand_ins/soak/datagram_relay.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <memory>

#include "http/ip_address.h"

namespace burdockwheel::stand_ins {
namespace {

using boost::asio::ip::udp;

udp::endpoint EndpointOf(const std::string& address) {
  const auto endpoint = http::ParseEndpointOrNull(address);
  return {endpoint->address(), endpoint->port()};
}

}  // namespace

DatagramRelay::DatagramRelay(boost::asio::io_context& context,
                             const std::string& listen,
                             const std::string& target)
    : context(context),
      socket(context, EndpointOf(listen)),
      target(EndpointOf(target)) {
  this->Receive();
}

void DatagramRelay::Receive() {
  this->socket.async_receive_from(
      boost::asio::buffer(this->buffer), this->sender,
      [this](const boost::system::error_code& error, std::size_t size) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error && !this->is_deaf) {
          const auto bytes =
              std::make_shared<std::string>(this->buffer.data(), size);
          const auto timer =
              std::make_shared<boost::asio::steady_timer>(this->context);
          timer->expires_after(this->delay);
          timer->async_wait([this, bytes, timer](const auto& timer_error) {
            boost::system::error_code ignored;
            if (!timer_error)
              this->socket.send_to(boost::asio::buffer(*bytes), this->target, 0,
                                   ignored);
          });
        }
        this->Receive();
      });
}

}  // namespace burdockwheel::stand_ins
