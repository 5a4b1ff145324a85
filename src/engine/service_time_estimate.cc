#include "engine/service_time_estimate.h"

#include <algorithm>

namespace burdockwheel::engine {

namespace {

// A new call's weight shrinks to one part in so many.
constexpr int kMaxWeightDivisor = 40;

}  // namespace

void ServiceTimeEstimate::Observe(std::chrono::nanoseconds latency) {
  this->observations = std::min(this->observations + 1, kMaxWeightDivisor);
  this->mean += (latency - this->mean) / this->observations;
}

}  // namespace burdockwheel::engine
