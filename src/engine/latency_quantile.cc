#include "engine/latency_quantile.h"

#include <algorithm>

namespace burdockwheel::engine {

namespace {

constexpr int kMinObservations = 20;  // before the estimate is used
constexpr int kMaxStepDivisor = 50;   // the smallest step is 1 / this

}  // namespace

LatencyQuantile::LatencyQuantile(double quantile) : quantile(quantile) {}

void LatencyQuantile::Observe(std::chrono::nanoseconds latency) {
  const auto sample = static_cast<double>(latency.count());
  if (this->observations < kMaxStepDivisor) this->observations += 1;
  if (this->observations == 1) {
    this->estimate = sample;
    return;
  }
  const double step = 1.0 / this->observations;
  const double direction =
      sample > this->estimate ? this->quantile : this->quantile - 1;
  this->estimate *= 1 + step * direction;
  this->estimate = std::max(this->estimate, 1.0);
}

bool LatencyQuantile::HasValue() const {
  return this->observations >= kMinObservations;
}

std::chrono::nanoseconds LatencyQuantile::Value() const {
  return std::chrono::nanoseconds(static_cast<std::int64_t>(this->estimate));
}

}  // namespace burdockwheel::engine
