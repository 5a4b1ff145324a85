// The clock of a case.
#pragma once

#include <chrono>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Returns the time since the case began.
inline Milliseconds SinceStart() {
  static const auto kStart = Clock::now();
  return std::chrono::duration_cast<Milliseconds>(Clock::now() - kStart);
}

inline void Sleep(Milliseconds time) { std::this_thread::sleep_for(time); }

}  // namespace review
