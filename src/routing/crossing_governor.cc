#include "routing/crossing_governor.h"

#include <algorithm>
#include <cmath>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// Shares of calls at which crossing begins and stops to be usual.
constexpr double kUsualShare = 0.2;
constexpr double kUnusualShare = 0.05;

}  // namespace

CrossingGovernor::CrossingGovernor(const CrossingSettings& settings)
    : settings(settings) {}

bool CrossingGovernor::MayCross(kernel::Instant now, double advantage,
                                bool has_local, double draw) {
  const double band = this->settings.hysteresis;
  const double threshold = this->is_crossing ? -band : band;
  const bool wants_crossing = !has_local || advantage > threshold;
  this->Update(
      now, wants_crossing,
      has_local ? this->settings.chosen_rise : this->settings.forced_rise);
  if (!wants_crossing) return false;
  return !this->settings.is_capped || draw < this->most_share;
}

void CrossingGovernor::NoteLocal(kernel::Instant now) {
  this->Update(now, false, this->settings.chosen_rise);
}

void CrossingGovernor::Update(kernel::Instant now, bool wants_crossing,
                              double rise) {
  if (!this->has_started) {
    // A host that starts finds the fleet as it is: nothing moves.
    this->has_started = true;
    this->updated_at = now;
    this->wanted_share = wants_crossing ? 1 : 0;
    this->most_share = wants_crossing ? 1 : this->settings.margin;
  }
  const auto elapsed = now - this->updated_at;
  this->updated_at = now;
  const double wanted = wants_crossing ? 1 : 0;
  // Calls come in any number; the gain of one is its share of the time.
  const double gain = std::max(
      1 - std::exp(-Ratio(elapsed, this->settings.averaging_time)), 0.002);
  this->wanted_share += (wanted - this->wanted_share) * gain;
  if (this->wanted_share > kUsualShare) this->is_crossing = true;
  if (this->wanted_share < kUnusualShare) this->is_crossing = false;
  const double target =
      std::min(1.0, this->wanted_share + this->settings.margin);
  const double most_step = rise * Seconds(elapsed);
  if (target > this->most_share) {
    this->most_share = std::min(target, this->most_share + most_step);
    return;
  }
  this->most_share = std::max(
      target, this->most_share - this->settings.fall * Seconds(elapsed));
}

}  // namespace burdockwheel::routing
