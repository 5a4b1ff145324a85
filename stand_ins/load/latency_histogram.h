// Latencies on a logarithmic axis, by Boost.Histogram.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>

namespace burdockwheel::stand_ins {

// Covers 1 microsecond to 1000 s in bins that are under 1% wide.
class LatencyHistogram {
 public:
  LatencyHistogram();
  LatencyHistogram(const LatencyHistogram& other);
  LatencyHistogram(LatencyHistogram&& other) noexcept;
  LatencyHistogram& operator=(LatencyHistogram other) noexcept;
  ~LatencyHistogram();

  void Add(std::chrono::nanoseconds latency);
  void Merge(const LatencyHistogram& other);

  std::int64_t Count() const { return this->count; }
  std::chrono::nanoseconds Largest() const { return this->largest; }
  // Zero if the histogram is empty.
  std::chrono::nanoseconds Mean() const;

  // Returns the least bound that this share, from 0 to 1, of the latencies
  // keeps; at most a bin's width above the exact one. Zero if empty.
  std::chrono::nanoseconds Quantile(double share) const;

 private:
  struct Bins;

  std::unique_ptr<Bins> bins;
  std::int64_t count = 0;
  std::chrono::nanoseconds largest{0};
  std::chrono::nanoseconds sum{0};
};

}  // namespace burdockwheel::stand_ins
