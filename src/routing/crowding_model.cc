#include "routing/crowding_model.h"

#include <algorithm>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// Shares of the slots that are taken: up to the first a worker has room, from
// the second on it is nearly full.
constexpr double kRoomyShare = 0.67;
constexpr double kCrowdedShare = 0.8;
constexpr int kMinSamples = 10;
constexpr double kMinWeight = 0.03;  // of a new sample
// Slowdowns up to this are taken for noise.
constexpr double kSlowsFrom = 1.2;
constexpr double kFullLoad = 0.95;
constexpr double kRoomyLoad = 0.75;

}  // namespace

void CrowdingModel::Mean::Add(double value) {
  ++this->samples;
  const double weight = std::max(kMinWeight, 1.0 / this->samples);
  this->seconds += weight * (value - this->seconds);
}

void CrowdingModel::Observe(std::chrono::nanoseconds time,
                            const model::WorkerReport& report, int slots) {
  // With calls waiting, the time tells of the queue too.
  if (report.calls_queued > 0 || slots <= 0) return;
  const double share = static_cast<double>(report.calls_in_flight) / slots;
  if (share <= kRoomyShare) this->roomy.Add(Seconds(time));
  if (share >= kCrowdedShare) this->crowded.Add(Seconds(time));
}

double CrowdingModel::Slowdown() const {
  const bool is_known = this->roomy.samples >= kMinSamples &&
                        this->crowded.samples >= kMinSamples;
  if (!is_known || this->roomy.seconds <= 0) return 1;
  return this->crowded.seconds / this->roomy.seconds;
}

double CrowdingModel::TargetLoad() const {
  return this->Slowdown() > kSlowsFrom ? kRoomyLoad : kFullLoad;
}

}  // namespace burdockwheel::routing
