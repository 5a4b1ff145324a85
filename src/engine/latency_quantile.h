// Estimates a quantile of a stream of latencies in constant space.
#pragma once

#include <chrono>

namespace burdockwheel::engine {

// Estimates a quantile by stochastic approximation (Robbins and Monro, 1951)
// with steps proportional to the estimate, so that it tracks shifts of the
// distribution.
class LatencyQuantile {
 public:
  // `quantile`: above 0 and below 1, such as 0.95.
  explicit LatencyQuantile(double quantile);

  void Observe(std::chrono::nanoseconds latency);

  // Returns whether enough latencies were observed for a reliable estimate.
  bool HasValue() const;

  // Returns the estimate, or zero before the first latency.
  std::chrono::nanoseconds Value() const;

 private:
  double quantile;
  double estimate = 0;  // nanoseconds
  int observations = 0;
};

}  // namespace burdockwheel::engine
