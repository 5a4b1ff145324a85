// Latencies by Boost.Histogram.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace burdockwheel::telemetry {

// Counts durations in bins whose width grows with the value: 20 for each
// factor of ten, from 10 microseconds to 100 seconds.
class LatencyHistogram {
 public:
  LatencyHistogram();
  ~LatencyHistogram();
  LatencyHistogram(LatencyHistogram&&) noexcept;
  LatencyHistogram& operator=(LatencyHistogram&&) noexcept;

  void Add(std::chrono::nanoseconds latency);

  std::uint64_t Count() const;

  // Returns the upper edge of the bin that holds this share of the durations.
  std::chrono::nanoseconds Quantile(double share) const;

  // Appends the cumulative buckets, the sum and the count in the Prometheus
  // text format, in seconds. `labels` is such as "kind=\"read\"" or empty.
  void AppendPrometheus(std::string_view name, std::string_view labels,
                        std::string& text) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace burdockwheel::telemetry
