#include "peer/push_link.h"

#include <nng/protocol/pipeline0/push.h>

#include <utility>

namespace burdockwheel::peer {

kernel::Result<std::unique_ptr<PushLink>, TransportFailure> PushLink::Open(
    const std::string& address) {
  std::unique_ptr<PushLink> link(new PushLink);
  if (nng_push0_open(link->socket.Address()) != 0)
    return TransportFailure::kNoResources;
  nng_aio* aio = nullptr;
  if (nng_aio_alloc(&aio, &PushLink::HandleSent, link.get()) != 0)
    return TransportFailure::kNoResources;
  link->aio.reset(aio);
  nng_aio_set_timeout(aio, static_cast<nng_duration>(kSendTimeout.count()));
  const nng_socket socket = link->socket.Handle();
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT,
                    static_cast<nng_duration>(kReconnectMin.count()));
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT,
                    static_cast<nng_duration>(kReconnectMax.count()));
  const std::string url = "tcp://" + address;
  if (nng_dial(socket, url.c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0)
    return TransportFailure::kBadAddress;
  return link;
}

PushLink::~PushLink() {
  {
    const std::lock_guard lock(this->mutex);
    this->is_closing = true;
    this->DropQueue();
  }
  this->socket.Close();
  // The callback reads `aio`, so it has to end while the member still holds it.
  if (this->aio != nullptr) nng_aio_stop(this->aio.get());
}

bool PushLink::TrySend(const MessageBytes& message) {
  const std::lock_guard lock(this->mutex);
  if (this->queue.size() >= kMostQueuedMessages) return false;
  if (this->queued_bytes + message.size() > kMostQueuedBytes) return false;
  nng_msg* raw = nullptr;
  if (nng_msg_alloc(&raw, 0) != 0) return false;
  NngMessage queued(raw);
  if (nng_msg_append(raw, message.data(), message.size()) != 0) return false;
  this->queued_bytes += message.size();
  this->queue.push_back(std::move(queued));
  if (!this->is_sending) this->SendNext();
  return true;
}

// Runs on a thread of nng, after the connection took a message or failed to.
void PushLink::HandleSent(void* link) {
  auto* self = static_cast<PushLink*>(link);
  const std::lock_guard lock(self->mutex);
  self->is_sending = false;
  if (nng_aio_result(self->aio.get()) != 0) {
    nng_msg_free(nng_aio_get_msg(self->aio.get()));
    nng_aio_set_msg(self->aio.get(), nullptr);
    self->DropQueue();
  }
  if (!self->is_closing) self->SendNext();
}

// Precondition: the mutex is held and nothing is being sent.
void PushLink::SendNext() {
  if (this->queue.empty()) return;
  NngMessage next = std::move(this->queue.front());
  this->queue.pop_front();
  this->queued_bytes -= nng_msg_len(next.get());
  this->is_sending = true;
  nng_aio_set_msg(this->aio.get(), next.release());
  nng_send_aio(this->socket.Handle(), this->aio.get());
}

void PushLink::DropQueue() {
  this->queue.clear();
  this->queued_bytes = 0;
}

}  // namespace burdockwheel::peer
