// Writes metrics in the Prometheus text format.
#pragma once

#include <string>
#include <string_view>

#include "telemetry/latency_histogram.h"

namespace burdockwheel::telemetry {

enum class MetricType { kCounter, kGauge, kHistogram };

// Each family of metrics is begun once and followed by its samples. Names get
// the prefix "burdockwheel_"; times are in seconds.
class MetricText {
 public:
  void Family(std::string_view name, MetricType type, std::string_view help);

  // Appends a sample of the family begun last. `labels` is such as
  // "reason=\"overloaded\"" or empty.
  void Sample(std::string_view labels, double value);
  void Sample(std::string_view labels, const LatencyHistogram& histogram);

  // Families with one sample.
  void Counter(std::string_view name, std::string_view help, double value);
  void Gauge(std::string_view name, std::string_view help, double value);

  const std::string& Text() const { return this->text; }

 private:
  std::string text;
  std::string family;
};

// Returns `name="value"`, escaped as the format asks.
std::string MetricLabel(std::string_view name, std::string_view value);

}  // namespace burdockwheel::telemetry
