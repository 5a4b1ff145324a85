#include "routing/crossing_governor.h"

#include <algorithm>
#include <cmath>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// Shares of calls at which crossing begins and stops to be usual.
constexpr double kUsualShare = 0.2;
constexpr double kUnusualShare = 0.05;
// The rate of calls is averaged over this time.
constexpr std::chrono::nanoseconds kRateTime = std::chrono::seconds(5);
// Crossings that were not used are saved up for this time.
constexpr std::chrono::nanoseconds kSavedTime = std::chrono::milliseconds(20);
constexpr double kFewestSaved = 2;

}  // namespace

CrossingGovernor::CrossingGovernor(const CrossingSettings& settings)
    : settings(settings) {}

bool CrossingGovernor::MayCross(kernel::Instant now, double advantage,
                                bool has_local) {
  const double band = this->settings.hysteresis;
  const double threshold = this->is_crossing ? -band : band;
  const bool wants_crossing = !has_local || advantage > threshold;
  this->Update(now, wants_crossing, has_local);
  if (!wants_crossing) return false;
  if (!this->settings.is_capped || this->most_share >= 1) return true;
  if (this->crossings_left < 1) return false;
  this->crossings_left -= 1;
  return true;
}

void CrossingGovernor::NoteLocal(kernel::Instant now) {
  this->Update(now, false, true);
}

void CrossingGovernor::NoteStarted(kernel::Instant now) {
  const double time = Seconds(kRateTime);
  const double kept = std::exp(-Seconds(now - this->started_at) / time);
  this->calls_per_second = this->calls_per_second * kept + 1 / time;
  this->started_at = now;
}

void CrossingGovernor::GrantCrossings(std::chrono::nanoseconds elapsed) {
  const double rate = this->most_share * this->calls_per_second;
  const double most = std::max(kFewestSaved, rate * Seconds(kSavedTime));
  this->crossings_left =
      std::min(most, this->crossings_left + rate * Seconds(elapsed));
}

void CrossingGovernor::Update(kernel::Instant now, bool wants_crossing,
                              bool has_local) {
  if (!this->has_started) {
    // A host that starts finds the fleet as it is: nothing moves.
    this->has_started = true;
    this->updated_at = now;
    this->wanted_share = wants_crossing ? 1 : 0;
    this->most_share = wants_crossing ? 1 : this->settings.margin;
  }
  const auto elapsed = now - this->updated_at;
  this->updated_at = now;
  this->GrantCrossings(elapsed);
  const double wanted = wants_crossing ? 1 : 0;
  // Calls come in any number; the gain of one is its share of the time.
  const double gain = std::max(
      1 - std::exp(-Ratio(elapsed, this->settings.averaging_time)), 0.002);
  this->wanted_share += (wanted - this->wanted_share) * gain;
  if (this->wanted_share > kUsualShare) this->is_crossing = true;
  if (this->wanted_share < kUnusualShare) this->is_crossing = false;
  const double target =
      has_local ? std::min(1.0, this->wanted_share + this->settings.margin) : 1;
  const double rise =
      has_local ? this->settings.chosen_rise : this->settings.forced_rise;
  const double most_step = rise * Seconds(elapsed);
  if (target > this->most_share) {
    this->most_share = std::min(target, this->most_share + most_step);
    return;
  }
  this->most_share = std::max(
      target, this->most_share - this->settings.fall * Seconds(elapsed));
}

}  // namespace burdockwheel::routing
