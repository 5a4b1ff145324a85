// Says which of two publications goes before the other.
#pragma once

#include <compare>
#include <cstdint>

namespace burdockwheel::configuration {

// Publications are ordered by version, and those that racing publishers gave
// the same version by their digests. The order is total and the same on every
// host, so that hosts which saw a race in different orders end up alike.
struct ConfigurationStamp {
  std::uint64_t version = 0;  // 0: no configuration
  std::uint64_t digest = 0;   // of the content

  friend bool operator==(const ConfigurationStamp& left,
                         const ConfigurationStamp& right) = default;
  friend bool operator<(const ConfigurationStamp& left,
                        const ConfigurationStamp& right) {
    if (left.version != right.version) return left.version < right.version;
    return left.digest < right.digest;
  }
};

}  // namespace burdockwheel::configuration
