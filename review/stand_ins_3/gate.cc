#include "review/stand_ins_3/gate.h"

#include <poll.h>
#include <sys/socket.h>

#include <array>
#include <string_view>

namespace review {

namespace {

// A close with this option resets the connection.
void ResetAtClose(int descriptor) {
  const linger option{1, 0};
  setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof(option));
}

// Returns false once the source has ended.
bool PassOn(int source, int target) {
  std::array<char, 65536> buffer{};
  const auto size = recv(source, buffer.data(), buffer.size(), 0);
  if (size <= 0) return false;
  return SendAll(
      target, std::string_view(buffer.data(), static_cast<std::size_t>(size)));
}

}  // namespace

Gate::Gate(std::uint16_t target_port)
    : target_port(target_port),
      listener(ListenOnLoopback(this->port)),
      acceptor([this] { this->Accept(); }) {}

Gate::~Gate() {
  this->is_ending = true;
  shutdown(this->listener.Get(), SHUT_RDWR);
  this->acceptor.join();
  for (auto& thread : this->threads) thread.join();
}

void Gate::Cut() {
  this->is_cut = true;
  this->cuts += 1;
}

void Gate::Accept() {
  while (true) {
    const int descriptor =
        accept4(this->listener.Get(), nullptr, nullptr, SOCK_CLOEXEC);
    if (descriptor < 0) return;
    this->threads.emplace_back([this, descriptor] { this->Pass(descriptor); });
  }
}

void Gate::Pass(int descriptor) {
  const Descriptor near(descriptor);
  ResetAtClose(near.Get());
  const int begun = this->cuts;
  if (this->is_cut) return;
  const auto far = ConnectToLoopback(this->target_port);
  while (far.IsOpen() && !this->is_ending && begun == this->cuts) {
    std::array<pollfd, 2> entries = {pollfd{near.Get(), POLLIN, 0},
                                     pollfd{far.Get(), POLLIN, 0}};
    poll(entries.data(), entries.size(), 10);
    if (begun != this->cuts) return;
    if (entries[0].revents != 0 && !PassOn(near.Get(), far.Get())) return;
    if (entries[1].revents != 0 && !PassOn(far.Get(), near.Get())) return;
  }
}

}  // namespace review
