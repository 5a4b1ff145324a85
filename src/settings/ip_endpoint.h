// IP numbers with ports as they stand in settings.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace burdockwheel::settings {

struct IpEndpoint {
  std::string ip;  // an IPv4 number, or an IPv6 number without brackets
  std::uint16_t port = 0;

  // Tells whether the number stands for every address of the host.
  bool IsWildcard() const;

  // Returns "127.0.0.1:80" or "[::1]:80".
  std::string Text() const;

  friend bool operator==(const IpEndpoint&, const IpEndpoint&) = default;
};

// Reads "127.0.0.1:80" or "[::1]:80". Names of hosts are not taken.
std::optional<IpEndpoint> TryParseIpEndpoint(std::string_view text);

}  // namespace burdockwheel::settings
