#include "peer/socket_transport.h"

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <utility>

#include "http/ip_address.h"
#include "peer/peer_message.h"
#include "peer/stream_inlet.h"
#include "peer/stream_link.h"

namespace burdockwheel::peer {

namespace {

using boost::asio::ip::tcp;
using boost::asio::ip::udp;

// Peers that each keep one stream open.
constexpr std::size_t kMostInlets = 4096;

}  // namespace

kernel::Result<std::unique_ptr<SocketTransport>, TransportFailure>
SocketTransport::Open(boost::asio::io_context& context,
                      const std::string& address, Hooks hooks) {
  const auto wanted = http::ParseEndpointOrNull(address);
  if (!wanted) return TransportFailure::kBadAddress;
  // NOLINTNEXTLINE(modernize-make-unique): the constructor is private.
  std::unique_ptr<SocketTransport> transport(
      new SocketTransport(context, std::move(hooks)));
  boost::system::error_code error;
  auto& acceptor = transport->acceptor;
  acceptor.open(wanted->protocol(), error);
  if (error) return TransportFailure::kNoResources;
  acceptor.set_option(boost::asio::socket_base::reuse_address(true), error);
  acceptor.bind(*wanted, error);
  if (error == boost::asio::error::address_in_use)
    return TransportFailure::kAddressInUse;
  if (error) return TransportFailure::kBadAddress;
  acceptor.listen(boost::asio::socket_base::max_listen_connections, error);
  if (error) return TransportFailure::kAddressInUse;
  const auto bound = acceptor.local_endpoint(error);
  if (error) return TransportFailure::kNoResources;
  const udp::endpoint datagram_endpoint(bound.address(), bound.port());
  transport->datagrams.open(datagram_endpoint.protocol(), error);
  if (error) return TransportFailure::kNoResources;
  transport->datagrams.bind(datagram_endpoint, error);
  if (error) return TransportFailure::kAddressInUse;
  transport->datagrams.non_blocking(true, error);
  if (error) return TransportFailure::kNoResources;
  transport->listen_address = http::EndpointText(bound);
  transport->Accept();
  transport->ReceiveDatagram();
  return transport;
}

SocketTransport::SocketTransport(boost::asio::io_context& context, Hooks hooks)
    : context(context),
      hooks(std::move(hooks)),
      datagrams(context),
      acceptor(context) {}

SocketTransport::~SocketTransport() {
  for (const auto& [address, link] : this->links) link->Close();
  for (const auto& [key, inlet] : this->inlets) inlet->Close();
}

bool SocketTransport::TrySend(const std::string& address, Delivery delivery,
                              MessageBytes message) {
  if (message.size() > kMostMessageBytes) return false;
  if (this->hooks.should_drop && this->hooks.should_drop(address)) return false;
  const bool is_datagram =
      delivery == Delivery::kDatagram && message.size() <= kMostDatagramBytes;
  if (is_datagram) return this->TrySendDatagram(address, message);
  const auto endpoint = http::ParseEndpointOrNull(address);
  if (!endpoint) return false;
  return this->LinkTo(address, *endpoint).TrySend(message);
}

bool SocketTransport::TrySendDatagram(const std::string& address,
                                      const MessageBytes& message) {
  const auto endpoint = http::ParseEndpointOrNull(address);
  if (!endpoint) return false;
  boost::system::error_code error;
  this->datagrams.send_to(boost::asio::buffer(message),
                          udp::endpoint(endpoint->address(), endpoint->port()),
                          0, error);
  return !error;
}

void SocketTransport::ReceiveDatagram() {
  this->datagrams.async_receive_from(
      boost::asio::buffer(this->datagram), this->sender,
      this->lifetime.Guard(
          [this](const boost::system::error_code& error, std::size_t size) {
            if (error == boost::asio::error::operation_aborted) return;
            // An error here is the network's word on a datagram that was sent.
            if (!error && size <= kMostDatagramBytes)
              this->hooks.receive(MessageBytes(this->datagram.data(), size));
            this->ReceiveDatagram();
          }));
}

void SocketTransport::Accept() {
  this->acceptor.async_accept(this->lifetime.Guard(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error == boost::asio::error::operation_aborted) return;
        if (!error && this->inlets.size() < kMostInlets) {
          const auto inlet = std::make_shared<StreamInlet>(
              std::move(socket), this->hooks.receive,
              [this](StreamInlet* closed) { this->inlets.erase(closed); });
          this->inlets.emplace(inlet.get(), inlet);
          inlet->Start();
        }
        this->Accept();
      }));
}

StreamLink& SocketTransport::LinkTo(const std::string& address,
                                    const tcp::endpoint& endpoint) {
  const auto now = std::chrono::steady_clock::now();
  if (now >= this->next_idle_check) this->CloseIdleLinks(now);
  const auto found = this->links.find(address);
  if (found != this->links.end()) return *found->second;
  if (this->links.size() >= kMostLinks) this->CloseLongestUnusedLink();
  const auto added = this->links.emplace(
      address, std::make_shared<StreamLink>(this->context, endpoint));
  return *added.first->second;
}

void SocketTransport::CloseIdleLinks(kernel::Instant now) {
  this->next_idle_check = now + kIdleLinkTimeout / 2;
  std::erase_if(this->links, [now](const auto& entry) {
    if (now - entry.second->LastUsed() < kIdleLinkTimeout) return false;
    entry.second->Close();
    return true;
  });
}

void SocketTransport::CloseLongestUnusedLink() {
  const auto oldest = std::ranges::min_element(
      this->links, {},
      [](const auto& entry) { return entry.second->LastUsed(); });
  oldest->second->Close();
  this->links.erase(oldest);
}

}  // namespace burdockwheel::peer
