// A range of loopback ports that no other test program uses at the same time.
#pragma once

#include <optional>

namespace burdockwheel::stand_ins {

// Holds a range by listening on its first port; the others are free to use.
class PortRange {
 public:
  static constexpr int kPorts = 128;

  // Takes the first range that nobody holds.
  static std::optional<PortRange> TakeOrNull();

  PortRange(PortRange&& other) noexcept;
  PortRange& operator=(PortRange&& other) noexcept;
  PortRange(const PortRange&) = delete;
  PortRange& operator=(const PortRange&) = delete;
  ~PortRange();

  int FirstPort() const { return this->first_port; }

 private:
  PortRange(int socket, int first_port)
      : socket(socket), first_port(first_port) {}

  int socket;  // -1 if the range was moved away
  int first_port;
};

}  // namespace burdockwheel::stand_ins
