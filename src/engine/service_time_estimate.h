// Estimates the service time of calls of one kind on a worker at its usual
// speed.
#pragma once

#include <chrono>

namespace burdockwheel::engine {

// A moving average that weights recent calls more, so that it tracks changes of
// the service.
class ServiceTimeEstimate {
 public:
  // Adds the latency of a call that was delayed neither by a queue nor by
  // concurrent calls.
  void Observe(std::chrono::nanoseconds latency);

  // Returns the moving average, or zero before the first call.
  std::chrono::nanoseconds Value() const { return this->mean; }

 private:
  std::chrono::nanoseconds mean{0};
  int observations = 0;
};

}  // namespace burdockwheel::engine
