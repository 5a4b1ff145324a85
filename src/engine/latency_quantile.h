// Follows a quantile of a stream of latencies in constant space.
#pragma once

#include <chrono>

namespace burdockwheel::engine {

// Estimates a quantile by stochastic approximation (Robbins and Monro, 1951)
// with steps in proportion to the estimate, so that it follows shifts.
class LatencyQuantile {
 public:
  // `quantile`: above 0 and below 1, such as 0.95.
  explicit LatencyQuantile(double quantile);

  void Observe(std::chrono::nanoseconds latency);

  // Tells whether enough latencies were seen for the estimate to mean much.
  bool HasValue() const;

  // Returns the estimate, zero before the first latency.
  std::chrono::nanoseconds Value() const;

 private:
  double quantile;
  double estimate = 0;  // nanoseconds
  int observations = 0;
};

}  // namespace burdockwheel::engine
