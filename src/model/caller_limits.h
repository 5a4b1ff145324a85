// What callers may send, and how long they may take over it.
#pragma once

#include <chrono>
#include <cstdint>

namespace burdockwheel::model {

struct CallerLimits {
  std::int64_t most_header_bytes = std::int64_t{16} << 10U;
  std::int64_t most_body_bytes = std::int64_t{1} << 20U;
  // From the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{10'000};
  // Between two requests on a connection.
  std::chrono::milliseconds idle_timeout{75'000};

  friend bool operator==(const CallerLimits&, const CallerLimits&) = default;
};

}  // namespace burdockwheel::model
