#include "review/stand_ins/server.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <utility>

namespace review {

Server::Server(Handler handler) : handler(std::move(handler)) {
  constexpr int kBacklog = 512;
  this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  auto* const plain = reinterpret_cast<sockaddr*>(&endpoint);  // NOLINT
  static_cast<void>(bind(this->descriptor, plain, sizeof(endpoint)));
  listen(this->descriptor, kBacklog);
  socklen_t size = sizeof(endpoint);
  getsockname(this->descriptor, plain, &size);
  this->address = "127.0.0.1:" + std::to_string(ntohs(endpoint.sin_port));
  this->acceptor = std::thread([this] { this->Accept(); });
}

Server::~Server() { this->Stop(); }

void Server::Accept() {
  constexpr int kPollMs = 50;
  while (!this->is_stopping) {
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (poll(&waiting, 1, kPollMs) <= 0) continue;
    const int accepted =
        accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
    if (accepted < 0) continue;
    const int on = 1;
    setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
    const auto stream = std::make_shared<Stream>(accepted);
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->streams.push_back(stream);
    this->threads.emplace_back([this, stream] {
      this->handler(*stream);
      stream->Reset();
      const std::lock_guard<std::mutex> inner_lock(this->mutex);
      std::erase(this->streams, stream);
    });
  }
}

void Server::Stop() {
  if (this->is_stopping.exchange(true)) return;
  this->acceptor.join();
  close(this->descriptor);
  std::vector<std::thread> ending;
  {
    const std::lock_guard<std::mutex> lock(this->mutex);
    for (const auto& stream : this->streams) stream->Reset();
    ending = std::move(this->threads);
  }
  for (auto& thread : ending) thread.join();
}

}  // namespace review
