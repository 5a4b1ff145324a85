#include "ownership/pause_detector.h"

#include <utility>

namespace burdockwheel::ownership {

bool PauseDetector::Observe(kernel::Instant now) {
  const auto previous = std::exchange(this->last, now);
  return previous.has_value() && now - *previous > kLeastPause;
}

}  // namespace burdockwheel::ownership
