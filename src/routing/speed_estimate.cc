#include "routing/speed_estimate.h"

#include <algorithm>
#include <cmath>

#include "routing/durations.h"

namespace burdockwheel::routing {

SpeedEstimate::SpeedEstimate(const SpeedSettings& settings)
    : settings(settings) {}

void SpeedEstimate::ObserveAnswer(kernel::Instant now,
                                  std::chrono::nanoseconds latency,
                                  double load_factor) {
  const auto sample = Scale(latency, 1 / load_factor);
  if (this->service_time.count() == 0) {
    this->service_time = std::max(sample, std::chrono::nanoseconds(1));
    this->sampled_at = now;
    return;
  }
  const double aged = 1 - std::exp(-Ratio(now - this->sampled_at,
                                          this->settings.sample_lifetime));
  const double gain = std::clamp(aged, this->settings.smoothing, 0.5);
  this->service_time += Scale(sample - this->service_time, gain);
  this->sampled_at = now;
}

void SpeedEstimate::ObserveLowerBound(kernel::Instant now,
                                      std::chrono::nanoseconds age,
                                      double load_factor) {
  if (Scale(age, 1 / load_factor) <= this->service_time) return;
  this->ObserveAnswer(now, age, load_factor);
}

std::chrono::nanoseconds SpeedEstimate::EffectiveServiceTime(
    std::chrono::nanoseconds typical, std::chrono::nanoseconds oldest_age,
    int answers_since, double load_factor) const {
  auto time = this->service_time;
  if (time.count() == 0) time = typical;
  if (time.count() == 0) return time;
  // Sampling noise must not move load: small differences are shrunk to none.
  if (typical.count() > 0) {
    const double ratio = Ratio(time, typical);
    const double noise = this->settings.noise_ratio;
    if (ratio > 1) time = std::max(typical, Scale(time, 1 / noise));
    if (ratio < 1) time = std::min(typical, Scale(time, noise));
  }
  if (!this->settings.is_age_believed) return time;
  const auto overdue = Scale(time, this->settings.overdue_ratio * load_factor);
  if (oldest_age <= overdue) return time;
  // An attempt that is out while later ones are answered is merely a long one.
  const auto bound = Scale(oldest_age, 1 / (load_factor * (1 + answers_since)));
  return std::max(time, bound);
}

}  // namespace burdockwheel::routing
