#include "peer/nng_transport.h"

#include <nng/protocol/pipeline0/pull.h>

#include <algorithm>
#include <utility>

#include "peer/peer_message.h"
#include "peer/push_link.h"

namespace burdockwheel::peer {

namespace {

constexpr int kReceiveBufferMessages = 256;

TransportFailure FailureOfListening(int error) {
  if (error == NNG_EADDRINUSE) return TransportFailure::kAddressInUse;
  if (error == NNG_ENOMEM || error == NNG_ENOFILES)
    return TransportFailure::kNoResources;
  return TransportFailure::kBadAddress;
}

}  // namespace

kernel::Result<std::unique_ptr<NngTransport>, TransportFailure>
NngTransport::Open(const std::string& address, Hooks hooks) {
  std::unique_ptr<NngTransport> transport(new NngTransport(std::move(hooks)));
  if (nng_pull0_open(transport->pull.Address()) != 0)
    return TransportFailure::kNoResources;
  const nng_socket socket = transport->pull.Handle();
  nng_socket_set_size(socket, NNG_OPT_RECVMAXSZ, kMostMessageBytes);
  nng_socket_set_int(socket, NNG_OPT_RECVBUF, kReceiveBufferMessages);

  const std::string url = "tcp://" + address;
  nng_listener listener = NNG_LISTENER_INITIALIZER;
  const int error = nng_listen(socket, url.c_str(), &listener, 0);
  if (error != 0) return FailureOfListening(error);
  int port = 0;
  if (nng_listener_get_int(listener, NNG_OPT_TCP_BOUND_PORT, &port) != 0)
    return TransportFailure::kBadAddress;
  transport->listen_address =
      address.substr(0, address.rfind(':') + 1) + std::to_string(port);
  transport->receiver =
      std::thread([self = transport.get()] { self->ReceiveUntilClosed(); });
  return transport;
}

NngTransport::NngTransport(Hooks hooks) : hooks(std::move(hooks)) {}

NngTransport::~NngTransport() {
  this->pull.Close();
  if (this->receiver.joinable()) this->receiver.join();
}

bool NngTransport::TrySend(const std::string& address, MessageBytes message) {
  if (message.size() > kMostMessageBytes) return false;
  if (this->hooks.should_drop && this->hooks.should_drop(address)) return false;
  const kernel::Instant now = std::chrono::steady_clock::now();
  const std::lock_guard lock(this->mutex);
  this->CloseIdleLinks(now);
  PushLink* link = this->LinkOrNull(address, now);
  return link != nullptr && link->TrySend(message);
}

std::size_t NngTransport::LinkCount() {
  const std::lock_guard lock(this->mutex);
  return this->links.size();
}

void NngTransport::ReceiveUntilClosed() {
  while (true) {
    nng_msg* raw = nullptr;
    const int error = nng_recvmsg(this->pull.Handle(), &raw, 0);
    if (error == NNG_ECLOSED) return;
    if (error != 0) continue;
    const NngMessage message(raw);
    this->hooks.receive(MessageBytes(
        static_cast<const char*>(nng_msg_body(raw)), nng_msg_len(raw)));
  }
}

PushLink* NngTransport::LinkOrNull(const std::string& address,
                                   kernel::Instant now) {
  auto found = this->links.find(address);
  if (found == this->links.end()) {
    auto opened = PushLink::Open(address);
    if (!opened.HasValue()) return nullptr;
    if (this->links.size() >= kMostLinks) this->CloseLongestUnusedLink();
    found = this->links.emplace(address, std::move(opened).Value()).first;
  }
  found->second->last_used = now;
  return found->second.get();
}

void NngTransport::CloseIdleLinks(kernel::Instant now) {
  if (now < this->next_idle_check) return;
  this->next_idle_check = now + kIdleLinkTimeout / 4;
  std::erase_if(this->links, [now](const auto& entry) {
    return entry.second->last_used + kIdleLinkTimeout < now;
  });
}

void NngTransport::CloseLongestUnusedLink() {
  this->links.erase(std::min_element(this->links.begin(), this->links.end(),
                                     [](const auto& left, const auto& right) {
                                       return left.second->last_used <
                                              right.second->last_used;
                                     }));
}

}  // namespace burdockwheel::peer
