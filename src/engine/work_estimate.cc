#include "engine/work_estimate.h"

#include <algorithm>

namespace burdockwheel::engine {

namespace {

// A new call's weight shrinks to one part in so many.
constexpr int kMostCounted = 40;

}  // namespace

void WorkEstimate::Observe(std::chrono::nanoseconds latency) {
  this->observations = std::min(this->observations + 1, kMostCounted);
  this->mean += (latency - this->mean) / this->observations;
}

}  // namespace burdockwheel::engine
