#include "host/caller_bounds.h"

#include <algorithm>
#include <cstddef>
#include <string>

#include "http/caller_session.h"
#include "http/request_reader.h"

namespace burdockwheel::host {

http::SessionLimits SessionLimitsOf(const model::CallerLimits& callers,
                                    std::int64_t most_body_bytes) {
  http::SessionLimits limits;
  limits.read.most_header_bytes =
      static_cast<std::size_t>(callers.most_header_bytes);
  limits.read.most_body_bytes = static_cast<std::size_t>(
      std::min(callers.most_body_bytes, most_body_bytes));
  limits.header_timeout = callers.header_timeout;
  limits.idle_timeout = callers.idle_timeout;
  return limits;
}

std::vector<configuration::AdjustedValue> LoweredLimits(
    const model::CallerLimits& callers, std::int64_t most_body_bytes) {
  std::vector<configuration::AdjustedValue> lowered;
  if (callers.most_body_bytes > most_body_bytes) {
    lowered.push_back({"caller_limits body_bytes",
                       std::to_string(callers.most_body_bytes),
                       std::to_string(most_body_bytes)});
  }
  if (callers.most_header_bytes > http::kMostFieldBytes) {
    lowered.push_back(
        {"caller_limits header_bytes",
         std::to_string(callers.most_header_bytes),
         std::to_string(http::kMostFieldBytes) + " for each field"});
  }
  return lowered;
}

}  // namespace burdockwheel::host
