#include "routing/noise_model.h"

#include <algorithm>
#include <cmath>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// Watched time beyond this makes room for newer observations.
constexpr double kMostSeconds = 600.0;
constexpr double kSlowdownGain = 0.02;

}  // namespace

void NoiseModel::Observe(double slowdown_before, double slowdown_after,
                         std::chrono::nanoseconds gap) {
  this->is_reported = true;
  if (gap > kLongestGap || gap.count() <= 0) return;
  const bool was_slowed = IsSlowed(slowdown_before);
  State& state = was_slowed ? this->slowed : this->usual;
  state.seconds += Seconds(gap);
  if (was_slowed != IsSlowed(slowdown_after)) state.changes += 1;
  if (state.seconds > kMostSeconds) {
    state.seconds /= 2;
    state.changes /= 2;
  }
  if (!IsSlowed(slowdown_after)) return;
  this->typical_slowdown +=
      kSlowdownGain * (slowdown_after - this->typical_slowdown);
}

double NoiseModel::SlowingRate() const {
  return this->usual.changes / this->usual.seconds;
}

double NoiseModel::RecoveryRate() const {
  return this->slowed.changes / this->slowed.seconds;
}

double NoiseModel::SlowedChanceWithoutReport() const {
  return this->is_reported ? this->SlowedShare() : 0;
}

double NoiseModel::SlowedShare() const {
  const double slowing = this->SlowingRate();
  return slowing / std::max(slowing + this->RecoveryRate(), 1e-9);
}

double NoiseModel::SlowedChance(double slowdown,
                                std::chrono::nanoseconds age) const {
  const double slowing = this->SlowingRate();
  const double recovery = this->RecoveryRate();
  const double sum = std::max(slowing + recovery, 1e-9);
  const double mean = this->SlowedShare();
  const double kept = std::exp(-sum * std::max(Seconds(age), 0.0));
  const double observed = IsSlowed(slowdown) ? 1 : 0;
  return mean + (observed - mean) * kept;
}

}  // namespace burdockwheel::routing
