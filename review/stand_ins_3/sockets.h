// Blocking sockets and HTTP/1.1 messages for the stand-ins of the review.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;

// Owns a file descriptor.
class Descriptor {
 public:
  Descriptor() = default;
  explicit Descriptor(int value) : value(value) {}
  ~Descriptor() { this->Reset(); }
  Descriptor(Descriptor&& other) noexcept
      : value(std::exchange(other.value, -1)) {}
  Descriptor& operator=(Descriptor&& other) noexcept {
    this->Reset();
    this->value = std::exchange(other.value, -1);
    return *this;
  }
  Descriptor(const Descriptor&) = delete;
  Descriptor& operator=(const Descriptor&) = delete;

  int Get() const { return this->value; }
  bool IsOpen() const { return this->value >= 0; }
  void Reset();

 private:
  int value = -1;
};

struct Message {
  std::string start_line;
  std::vector<std::pair<std::string, std::string>> headers;
  std::string body;

  // Returns an empty text if there is no such header.
  std::string Header(std::string_view name) const;
};

// Listens on a free port of 127.0.0.1, or on `port` if it is not 0.
Descriptor ListenOnLoopback(std::uint16_t& port);

// Returns a port that was free a moment ago.
std::uint16_t FreePort();

Descriptor ConnectToLoopback(std::uint16_t port);

bool SendAll(int descriptor, std::string_view bytes);

// Reads one message whose body has a Content-Length; `rest` keeps what was read
// beyond it. Returns false at the end of the connection or after `deadline`.
bool ReadMessage(int descriptor, Clock::time_point deadline, std::string& rest,
                 Message& message);

// Returns the named value of a target's query, with its escapes undone.
std::string QueryValue(std::string_view target, std::string_view name);

}  // namespace review
