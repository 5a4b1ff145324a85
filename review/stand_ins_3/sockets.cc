#include "review/stand_ins_3/sockets.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <strings.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <cstdlib>

namespace review {

namespace {

sockaddr_in LoopbackAddress(std::uint16_t port) {
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  return address;
}

void DisableDelay(int descriptor) {
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

// Returns false at the end of the connection or after `deadline`.
bool ReadSome(int descriptor, Clock::time_point deadline, std::string& bytes) {
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      deadline - Clock::now());
  if (left.count() <= 0) return false;
  pollfd entry{descriptor, POLLIN, 0};
  if (poll(&entry, 1, static_cast<int>(left.count())) <= 0) return false;
  std::array<char, 65536> buffer{};
  const auto size = recv(descriptor, buffer.data(), buffer.size(), 0);
  if (size <= 0) return false;
  bytes.append(buffer.data(), static_cast<std::size_t>(size));
  return true;
}

void ParseHead(std::string_view head, Message& message) {
  auto line_end = head.find("\r\n");
  message.start_line = head.substr(0, line_end);
  while (line_end != std::string_view::npos) {
    head.remove_prefix(line_end + 2);
    line_end = head.find("\r\n");
    const auto line = head.substr(0, line_end);
    const auto colon = line.find(':');
    if (colon == std::string_view::npos) continue;
    auto value = line.substr(colon + 1);
    while (value.starts_with(' ')) value.remove_prefix(1);
    message.headers.emplace_back(line.substr(0, colon), value);
  }
}

}  // namespace

void Descriptor::Reset() {
  if (this->value >= 0) close(this->value);
  this->value = -1;
}

std::string Message::Header(std::string_view name) const {
  const std::string wanted(name);
  for (const auto& [header, value] : this->headers) {
    if (strcasecmp(header.c_str(), wanted.c_str()) == 0) return value;
  }
  return {};
}

Descriptor ListenOnLoopback(std::uint16_t& port) {
  Descriptor listener(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const int on = 1;
  setsockopt(listener.Get(), SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  auto address = LoopbackAddress(port);
  socklen_t size = sizeof(address);
  if (bind(listener.Get(), reinterpret_cast<sockaddr*>(&address), size) != 0 ||
      listen(listener.Get(), 512) != 0 ||
      getsockname(listener.Get(), reinterpret_cast<sockaddr*>(&address),
                  &size) != 0)
    return {};
  port = ntohs(address.sin_port);
  return listener;
}

std::uint16_t FreePort() {
  // Below the ports that the kernel gives to outgoing connections.
  constexpr int kFirst = 20'000;
  constexpr int kCount = 12'000;
  static std::atomic<int> next{getpid() * 37};
  for (int attempt = 0; attempt < kCount; ++attempt) {
    auto port = static_cast<std::uint16_t>(kFirst + next++ % kCount);
    if (ListenOnLoopback(port).IsOpen()) return port;
  }
  return 0;
}

Descriptor ConnectToLoopback(std::uint16_t port) {
  Descriptor connection(socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0));
  const auto address = LoopbackAddress(port);
  if (connect(connection.Get(), reinterpret_cast<const sockaddr*>(&address),
              sizeof(address)) != 0)
    return {};
  DisableDelay(connection.Get());
  return connection;
}

bool SendAll(int descriptor, std::string_view bytes) {
  while (!bytes.empty()) {
    const auto sent =
        send(descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
    if (sent <= 0) return false;
    bytes.remove_prefix(static_cast<std::size_t>(sent));
  }
  return true;
}

bool ReadMessage(int descriptor, Clock::time_point deadline, std::string& rest,
                 Message& message) {
  constexpr std::string_view kHeadEnd = "\r\n\r\n";
  auto head_end = rest.find(kHeadEnd);
  while (head_end == std::string::npos) {
    if (!ReadSome(descriptor, deadline, rest)) return false;
    head_end = rest.find(kHeadEnd);
  }
  message = {};
  const std::string_view read = rest;
  ParseHead(read.substr(0, head_end), message);
  const auto length = static_cast<std::size_t>(
      std::strtoull(message.Header("Content-Length").c_str(), nullptr, 10));
  const auto end = head_end + kHeadEnd.size() + length;
  while (rest.size() < end) {
    if (!ReadSome(descriptor, deadline, rest)) return false;
  }
  message.body = rest.substr(head_end + kHeadEnd.size(), length);
  rest.erase(0, end);
  return true;
}

std::string QueryValue(std::string_view target, std::string_view name) {
  const std::string wanted = std::string(name) + "=";
  auto query = target.substr(std::min(target.find('?'), target.size()));
  while (!query.empty()) {
    query.remove_prefix(1);
    const auto part = query.substr(0, query.find('&'));
    query.remove_prefix(part.size());
    if (!part.starts_with(wanted)) continue;
    std::string value;
    for (std::size_t at = wanted.size(); at < part.size(); ++at) {
      if (part[at] != '%' || at + 2 >= part.size()) {
        value.push_back(part[at]);
        continue;
      }
      const std::string digits(part.substr(at + 1, 2));
      value.push_back(
          static_cast<char>(std::strtoul(digits.c_str(), nullptr, 16)));
      at += 2;
    }
    return value;
  }
  return {};
}

}  // namespace review
