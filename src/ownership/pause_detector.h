// Notices that this host was paused.
#pragma once

#include <chrono>
#include <optional>

#include "kernel/instant.h"

namespace burdockwheel::ownership {

// Told the time at each event, and at least once in kTickInterval while the
// host runs, it takes a longer gap for a pause.
class PauseDetector {
 public:
  static constexpr std::chrono::milliseconds kTickInterval{250};
  static constexpr std::chrono::milliseconds kLeastPause{1000};

  // Returns true at the first event after a pause.
  [[nodiscard]] bool Observe(kernel::Instant now);

 private:
  std::optional<kernel::Instant> last;
};

}  // namespace burdockwheel::ownership
