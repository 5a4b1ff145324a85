// Owners of the handles of nng.
#pragma once

#include <nng/nng.h>

#include <memory>

namespace burdockwheel::peer {

// Closes a socket of nng at the end of its life.
class NngSocket {
 public:
  NngSocket() = default;
  ~NngSocket() { this->Close(); }
  NngSocket(const NngSocket&) = delete;
  NngSocket& operator=(const NngSocket&) = delete;

  // Closes the socket; operations that wait on it end. May be called twice and
  // from another thread.
  void Close() {
    if (nng_socket_id(this->socket) > 0) nng_close(this->socket);
  }

  nng_socket* Address() { return &this->socket; }
  nng_socket Handle() const { return this->socket; }

 private:
  nng_socket socket = NNG_SOCKET_INITIALIZER;
};

struct NngMessageDeleter {
  void operator()(nng_msg* message) const { nng_msg_free(message); }
};
using NngMessage = std::unique_ptr<nng_msg, NngMessageDeleter>;

struct NngAioDeleter {
  // Waits for a callback that runs. A callback that reads the owner of the aio
  // must have been stopped before.
  void operator()(nng_aio* aio) const { nng_aio_free(aio); }
};
using NngAio = std::unique_ptr<nng_aio, NngAioDeleter>;

}  // namespace burdockwheel::peer
