#include "review/stand_ins/stream.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cctype>
#include <cstdlib>

namespace review {

std::string Message::Header(const std::string& name) const {
  const auto found = this->headers.find(name);
  return found == this->headers.end() ? std::string() : found->second;
}

std::string Message::Target() const {
  const auto begin = this->start_line.find(' ') + 1;
  return this->start_line.substr(begin,
                                 this->start_line.find(' ', begin) - begin);
}

int Message::Status() const { return std::atoi(this->Target().c_str()); }

Stream::~Stream() { close(this->descriptor); }

int Stream::Connect(const std::string& address) {
  const auto colon = address.rfind(':');
  sockaddr_in endpoint{};
  endpoint.sin_family = AF_INET;
  endpoint.sin_port =
      htons(static_cast<std::uint16_t>(std::atoi(address.c_str() + colon + 1)));
  inet_pton(AF_INET, address.substr(0, colon).c_str(), &endpoint.sin_addr);
  const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  // NOLINTNEXTLINE(cppcoreguidelines-pro-type-reinterpret-cast)
  const auto* const plain = reinterpret_cast<const sockaddr*>(&endpoint);
  if (connect(descriptor, plain, sizeof(endpoint)) != 0) {
    close(descriptor);
    return -1;
  }
  const int on = 1;
  setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

bool Stream::FillBuffer(Clock::time_point until) {
  const auto left =
      std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
  if (left <= 0) return false;
  pollfd waiting{this->descriptor, POLLIN, 0};
  if (poll(&waiting, 1, static_cast<int>(left)) <= 0) return false;
  std::array<char, 65536> bytes{};
  const auto size = recv(this->descriptor, bytes.data(), bytes.size(), 0);
  if (size <= 0) return false;
  this->buffer.append(bytes.data(), static_cast<std::size_t>(size));
  return true;
}

std::optional<Message> Stream::Read(Milliseconds patience) {
  const auto until = Clock::now() + patience;
  auto end = this->buffer.find("\r\n\r\n");
  while (end == std::string::npos) {
    if (!this->FillBuffer(until)) return std::nullopt;
    end = this->buffer.find("\r\n\r\n");
  }
  Message message;
  std::size_t at = 0;
  while (at < end) {
    const auto line_end = std::min(this->buffer.find("\r\n", at), end);
    const auto line = this->buffer.substr(at, line_end - at);
    at = line_end + 2;
    const auto colon = line.find(':');
    if (message.start_line.empty()) {
      message.start_line = line;
    } else if (colon != std::string::npos) {
      auto name = line.substr(0, colon);
      std::transform(name.begin(), name.end(), name.begin(), [](char one) {
        return static_cast<char>(std::tolower(one));
      });
      const auto value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] =
          value == std::string::npos ? "" : line.substr(value);
    }
  }
  this->buffer.erase(0, end + 4);
  const auto length = static_cast<std::size_t>(
      std::atoll(message.Header("content-length").c_str()));
  while (this->buffer.size() < length) {
    if (!this->FillBuffer(until)) return std::nullopt;
  }
  message.body = this->buffer.substr(0, length);
  this->buffer.erase(0, length);
  return message;
}

bool Stream::Write(const std::string& bytes) {
  std::size_t written = 0;
  while (written < bytes.size()) {
    const auto size = send(this->descriptor, bytes.data() + written,
                           bytes.size() - written, MSG_NOSIGNAL);
    if (size <= 0) return false;
    written += static_cast<std::size_t>(size);
  }
  return true;
}

bool Stream::WriteFrom(const Stream& other) {
  std::array<char, 65536> bytes{};
  const auto size = recv(other.descriptor, bytes.data(), bytes.size(), 0);
  return size > 0 &&
         this->Write(std::string(bytes.data(), static_cast<std::size_t>(size)));
}

void Stream::Reset() {
  const linger at_once{1, 0};
  setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once,
             sizeof(at_once));
  shutdown(this->descriptor, SHUT_RDWR);
}

}  // namespace review
