// The times at which pure code asks to be woken.
#pragma once

#include <algorithm>
#include <chrono>

#include "kernel/instant.h"

namespace burdockwheel::kernel {

// The shortest time between an event and the wake-up that it asks for.
inline constexpr std::chrono::milliseconds kShortestWakeUp{1};

// Returns the time to wake at, which is always after `now`: a time that stays
// in the past would fire for ever.
inline Instant WakeUpAfter(Instant now, Instant wanted) {
  return std::max(wanted, now + kShortestWakeUp);
}

}  // namespace burdockwheel::kernel
