#include "stand_ins/load/latency_histogram.h"

#include <algorithm>
#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>
#include <cmath>
#include <tuple>
#include <utility>

namespace burdockwheel::stand_ins {
namespace {

namespace histogram = boost::histogram;
using Axis = histogram::axis::regular<double, histogram::axis::transform::log>;

constexpr unsigned kBins = 2200;
constexpr double kLeastNanoseconds = 1e3;
constexpr double kMostNanoseconds = 1e12;

}  // namespace

struct LatencyHistogram::Bins {
  histogram::histogram<std::tuple<Axis>,
                       histogram::dense_storage<std::uint64_t>>
      counts{std::make_tuple(Axis(kBins, kLeastNanoseconds, kMostNanoseconds))};
};

LatencyHistogram::LatencyHistogram() : bins(std::make_unique<Bins>()) {}

LatencyHistogram::LatencyHistogram(const LatencyHistogram& other)
    : bins(std::make_unique<Bins>(*other.bins)),
      count(other.count),
      largest(other.largest),
      sum(other.sum) {}

LatencyHistogram::LatencyHistogram(LatencyHistogram&& other) noexcept = default;

LatencyHistogram& LatencyHistogram::operator=(LatencyHistogram other) noexcept {
  std::swap(this->bins, other.bins);
  this->count = other.count;
  this->largest = other.largest;
  this->sum = other.sum;
  return *this;
}

LatencyHistogram::~LatencyHistogram() = default;

void LatencyHistogram::Add(std::chrono::nanoseconds latency) {
  const double value = static_cast<double>(latency.count());
  this->bins->counts(std::max(value, kLeastNanoseconds));
  ++this->count;
  this->largest = std::max(this->largest, latency);
  this->sum += latency;
}

void LatencyHistogram::Merge(const LatencyHistogram& other) {
  this->bins->counts += other.bins->counts;
  this->count += other.count;
  this->largest = std::max(this->largest, other.largest);
  this->sum += other.sum;
}

std::chrono::nanoseconds LatencyHistogram::Mean() const {
  return this->count == 0 ? this->sum : this->sum / this->count;
}

std::chrono::nanoseconds LatencyHistogram::Quantile(double share) const {
  const auto wanted = static_cast<std::int64_t>(
      std::ceil(share * static_cast<double>(this->count)));
  std::int64_t seen = 0;
  const auto& axis = this->bins->counts.axis(0);
  for (int bin = 0; bin < axis.size(); ++bin) {
    seen += static_cast<std::int64_t>(this->bins->counts.at(bin));
    if (seen < wanted || seen == 0) continue;
    const double bound = axis.bin(bin).upper();
    return std::min(this->largest,
                    std::chrono::nanoseconds(static_cast<std::int64_t>(bound)));
  }
  return this->largest;
}

}  // namespace burdockwheel::stand_ins
