#include "stand_ins/experiment/port_range.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <bit>
#include <cstdint>
#include <utility>

namespace burdockwheel::stand_ins {
namespace {

// Below the ports that the system gives to connections.
constexpr int kLowestPort = 20000;
constexpr int kHighestPort = 32000;

// Returns a listening socket, or -1 if the port is taken.
int ListenOrNegative(int port) {
  const int socket_id = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  if (socket_id < 0) return -1;
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  // Without SO_REUSEADDR, so that a port in use is never taken.
  if (bind(socket_id, std::bit_cast<sockaddr*>(&address), sizeof(address)) ==
          0 &&
      listen(socket_id, 1) == 0)
    return socket_id;
  close(socket_id);
  return -1;
}

}  // namespace

std::optional<PortRange> PortRange::TakeOrNull() {
  for (int port = kLowestPort; port + kPorts <= kHighestPort; port += kPorts) {
    const int socket_id = ListenOrNegative(port);
    if (socket_id >= 0) return PortRange(socket_id, port + 1);
  }
  return std::nullopt;
}

PortRange::PortRange(PortRange&& other) noexcept
    : socket(std::exchange(other.socket, -1)), first_port(other.first_port) {}

PortRange& PortRange::operator=(PortRange&& other) noexcept {
  std::swap(this->socket, other.socket);
  std::swap(this->first_port, other.first_port);
  return *this;
}

PortRange::~PortRange() {
  if (this->socket >= 0) close(this->socket);
}

}  // namespace burdockwheel::stand_ins
