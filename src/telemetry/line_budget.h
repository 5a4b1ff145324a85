// A bound on how many log lines of one sort are written each second.
#pragma once

#include <cstdint>
#include <utility>

#include "kernel/instant.h"

namespace burdockwheel::telemetry {

// A token bucket that holds the lines of one second. Pure; not thread-safe.
class LineBudget {
 public:
  explicit LineBudget(double lines_per_second);

  void SetRate(double lines_per_second);

  // Takes room for `lines`, or counts them as suppressed.
  bool TryTake(kernel::Instant now, int lines = 1);

  // Returns the lines that were suppressed since the last call.
  std::uint64_t TakeSuppressed() { return std::exchange(this->suppressed, 0); }

  std::uint64_t Suppressed() const { return this->suppressed; }

 private:
  double lines_per_second;
  double available;
  kernel::Instant filled_at;
  std::uint64_t suppressed = 0;
};

}  // namespace burdockwheel::telemetry
