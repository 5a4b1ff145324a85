// The times that decision code takes as input.
#pragma once

#include <chrono>

namespace burdockwheel::kernel {

// A reading of a host's own monotonic clock. Decision code receives it and
// never reads the clock.
using Instant = std::chrono::steady_clock::time_point;

}  // namespace burdockwheel::kernel
