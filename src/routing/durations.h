// Arithmetic on durations that the estimates share.
#pragma once

#include <chrono>

namespace burdockwheel::routing {

// Returns how many times `divisor` goes into `dividend`.
constexpr double Ratio(std::chrono::nanoseconds dividend,
                       std::chrono::nanoseconds divisor) {
  return static_cast<double>(dividend.count()) /
         static_cast<double>(divisor.count());
}

// Returns the duration multiplied by a factor, rounded towards zero.
constexpr std::chrono::nanoseconds Scale(std::chrono::nanoseconds duration,
                                         double factor) {
  return std::chrono::nanoseconds(static_cast<std::chrono::nanoseconds::rep>(
      static_cast<double>(duration.count()) * factor));
}

// Returns the duration in seconds.
constexpr double Seconds(std::chrono::nanoseconds duration) {
  return std::chrono::duration<double>(duration).count();
}

}  // namespace burdockwheel::routing
