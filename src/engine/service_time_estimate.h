// Follows how long calls of one kind take on a worker at its usual speed.
#pragma once

#include <chrono>

namespace burdockwheel::engine {

// A mean that gives newer calls more weight, so that it follows the service.
class ServiceTimeEstimate {
 public:
  // Takes the latency of a call that neither a queue nor neighbours prolonged.
  void Observe(std::chrono::nanoseconds latency);

  // Returns the mean, zero before the first call.
  std::chrono::nanoseconds Value() const { return this->mean; }

 private:
  std::chrono::nanoseconds mean{0};
  int observations = 0;
};

}  // namespace burdockwheel::engine
