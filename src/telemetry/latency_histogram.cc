#include "telemetry/latency_histogram.h"

#include <boost/histogram.hpp>
#include <cmath>

namespace burdockwheel::telemetry {

namespace {

using std::chrono::duration;

constexpr double kLowestSeconds = 1e-5;
constexpr double kHighestSeconds = 100.0;
constexpr unsigned kBins = 140;

using Axis =
    boost::histogram::axis::regular<double,
                                    boost::histogram::axis::transform::log>;

auto MakeCounts() {
  return boost::histogram::make_histogram_with(
      std::vector<std::uint64_t>(),
      Axis(kBins, kLowestSeconds, kHighestSeconds));
}

}  // namespace

class LatencyHistogram::Implementation {
 public:
  decltype(MakeCounts()) counts = MakeCounts();
  std::uint64_t count = 0;
  double sum_seconds = 0;
};

LatencyHistogram::LatencyHistogram()
    : implementation(std::make_unique<Implementation>()) {}

LatencyHistogram::~LatencyHistogram() = default;
LatencyHistogram::LatencyHistogram(LatencyHistogram&&) noexcept = default;
LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram&&) noexcept =
    default;

void LatencyHistogram::Add(std::chrono::nanoseconds latency) {
  const double seconds = duration<double>(latency).count();
  this->implementation->counts(seconds);
  this->implementation->count += 1;
  this->implementation->sum_seconds += seconds;
}

std::uint64_t LatencyHistogram::Count() const {
  return this->implementation->count;
}

std::chrono::nanoseconds LatencyHistogram::Quantile(double share) const {
  const auto& counts = this->implementation->counts;
  const auto wanted = static_cast<std::uint64_t>(
      std::ceil(share * static_cast<double>(this->implementation->count)));
  std::uint64_t seen = counts.at(-1);
  double edge = kLowestSeconds;
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    if (seen >= wanted) break;
    seen += counts.at(bin);
    edge = counts.axis().bin(bin).upper();
  }
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      duration<double>(edge));
}

void LatencyHistogram::AppendPrometheus(std::string_view name,
                                        std::string_view labels,
                                        std::string& text) const {
  // Every tenth edge is published: two for each factor of ten.
  constexpr int kPublishedStep = 10;
  const auto& counts = this->implementation->counts;
  const std::string separator = labels.empty() ? "" : ",";
  const std::string braces =
      labels.empty() ? "" : "{" + std::string(labels) + "}";
  const std::string prefix = std::string(name);
  std::uint64_t seen = counts.at(-1);
  for (int bin = 0; bin < static_cast<int>(kBins); ++bin) {
    seen += counts.at(bin);
    if ((bin + 1) % kPublishedStep != 0) continue;
    text.append(prefix).append("_bucket{").append(labels).append(separator);
    text.append("le=\"");
    text.append(std::to_string(counts.axis().bin(bin).upper()));
    text.append("\"} ").append(std::to_string(seen)).append("\n");
  }
  const auto count = std::to_string(this->implementation->count);
  text.append(prefix).append("_bucket{").append(labels).append(separator);
  text.append("le=\"+Inf\"} ").append(count).append("\n");
  text.append(prefix).append("_sum").append(braces).append(" ");
  text.append(std::to_string(this->implementation->sum_seconds)).append("\n");
  text.append(prefix).append("_count").append(braces).append(" ");
  text.append(count).append("\n");
}

}  // namespace burdockwheel::telemetry
