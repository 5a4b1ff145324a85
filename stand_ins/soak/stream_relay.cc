#include "stand_ins/soak/stream_relay.h"

#include <boost/asio/error.hpp>
#include <utility>
#include <vector>

#include "http/ip_address.h"
#include "stand_ins/soak/relayed_connection.h"

namespace burdockwheel::stand_ins {

using Tcp = boost::asio::ip::tcp;

StreamRelay::StreamRelay(boost::asio::io_context& context,
                         const std::string& listen, const std::string& target)
    : context(context),
      acceptor(context, *http::ParseEndpointOrNull(listen)),
      target(*http::ParseEndpointOrNull(target)) {
  this->Accept();
}

StreamRelay::~StreamRelay() {
  this->acceptor.close();
  this->ResetAll();
}

void StreamRelay::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, Tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error) {
          const auto connection = std::make_shared<RelayedConnection>(
              this->context, std::move(socket), this->flow,
              [this](const auto& closed) { this->connections.erase(closed); });
          this->connections.insert(connection);
          connection->Start(this->target);
        }
        this->Accept();
      });
}

void StreamRelay::SetFlow(const RelayFlow& flow_now) {
  this->flow = flow_now;
  const std::vector<std::shared_ptr<RelayedConnection>> open(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : open) connection->FlowChanged();
}

void StreamRelay::ResetAll() {
  const std::vector<std::shared_ptr<RelayedConnection>> open(
      this->connections.begin(), this->connections.end());
  for (const auto& connection : open) connection->Reset();
}

void StreamRelay::DeadenAll() {
  for (const auto& connection : this->connections) connection->Deaden();
}

}  // namespace burdockwheel::stand_ins
