#include "routing/answer_forecast.h"

#include <algorithm>
#include <cmath>
#include <numbers>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// Calls of one kind differ in their work: the standard deviation of its
// logarithm.
constexpr double kWorkSpread = 0.35;

// The chance that work of this mean takes no longer than `time` (lognormal).
double WorkChance(double time, double mean) {
  if (time <= 0) return 0;
  if (mean <= 0) return 1;
  const double median = mean * std::exp(-kWorkSpread * kWorkSpread / 2);
  const double deviations = std::log(time / median) / kWorkSpread;
  return std::erfc(-deviations / std::numbers::sqrt2) / 2;
}

// The chance that a slowed time that begins now costs no more than `spare`.
// Work goes on at 1/slowdown of its speed, so that each second costs
// 1 - 1/slowdown.
double SlowedFits(double spare, double slowdown, double recovery_rate) {
  if (spare <= 0) return 0;
  const double lost_share = 1 - 1 / std::max(slowdown, 1.0);
  if (lost_share <= 0) return 1;
  return 1 - std::exp(-recovery_rate * spare / lost_share);
}

}  // namespace

std::chrono::nanoseconds ExpectedTime(const ForecastInput& input,
                                      const NoiseModel& noise) {
  const double work = Seconds(input.work);
  const double interrupted = 1 - std::exp(-noise.SlowingRate() * work);
  const double slowed =
      input.slowed_chance + (1 - input.slowed_chance) * interrupted;
  const double slowdown = std::max(
      input.slowed_chance > 0.5 ? input.slowdown : noise.TypicalSlowdown(),
      1.0);
  const double lost_share = 1 - 1 / slowdown;
  // The call is done before the slowed time is over if that is long.
  const double most_lost = work * (slowdown - 1);
  const double lost =
      std::min(lost_share / std::max(noise.RecoveryRate(), 1e-3), most_lost);
  return input.overhead +
         std::chrono::duration_cast<std::chrono::nanoseconds>(
             std::chrono::duration<double>(work + slowed * lost));
}

double ChanceWithin(std::chrono::nanoseconds time, const ForecastInput& input,
                    const NoiseModel& noise) {
  const double left = Seconds(time - input.overhead);
  const double work = Seconds(input.work);
  const double undisturbed = WorkChance(left, work);
  if (undisturbed <= 0) return 0;
  const double slowdown = std::max(
      input.slowed_chance > 0.5 ? input.slowdown : noise.TypicalSlowdown(),
      1.0);
  // Work that fits even if the machine stays slowed.
  const double throughout = WorkChance(left, work * slowdown);
  const double fits = std::max(
      throughout,
      undisturbed * SlowedFits(left - work, slowdown, noise.RecoveryRate()));
  const double interrupted = 1 - std::exp(-noise.SlowingRate() * work);
  const double from_usual =
      (1 - interrupted) * undisturbed + interrupted * fits;
  return input.slowed_chance * fits + (1 - input.slowed_chance) * from_usual;
}

}  // namespace burdockwheel::routing
