#include "engine/service_time_estimate.h"

#include <algorithm>

namespace burdockwheel::engine {

namespace {

// Limits how far the weight of a new call shrinks: to 1 / kMaxWeightDivisor.
constexpr int kMaxWeightDivisor = 40;

}  // namespace

void ServiceTimeEstimate::Observe(std::chrono::nanoseconds latency) {
  this->observations = std::min(this->observations + 1, kMaxWeightDivisor);
  this->mean += (latency - this->mean) / this->observations;
}

}  // namespace burdockwheel::engine
