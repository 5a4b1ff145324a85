#include "routing/in_flight_limit.h"

#include <algorithm>
#include <cmath>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// The limit ends below this multiple of the load that it aims at.
constexpr double kEndLoad = 0.85;
// Keeps the correction finite where the workers are idle.
constexpr double kMinLoad = 0.01;
// Reports are about this old, and calls last about as long, so that a change of
// the limit shows only after a few of these.
constexpr std::chrono::milliseconds kAdjustInterval{100};
// How much of the correction that the load asks for is made in one interval.
constexpr double kGain = 0.3;
// A host whose limit is not reached may use one more call in two intervals.
constexpr double kRise = 0.5;
constexpr std::chrono::milliseconds kAveragingTime{300};
// A limit this many times what the host has in flight does not bind.
constexpr double kAmple = 2;
// A host keeps at least this part of its share, however little it sent before.
constexpr double kMinShare = 0.5;

}  // namespace

bool InFlightLimit::HasRoom(int own_in_flight, double fair_share) const {
  if (!this->is_limiting) return true;
  const double least = std::max(1.0, kMinShare * fair_share);
  return own_in_flight + 1 <= std::max(this->limit, least);
}

void InFlightLimit::Observe(kernel::Instant now, const ServiceLoad& load,
                            int own_in_flight) {
  const double kept = std::exp(-Ratio(now - this->observed_at, kAveragingTime));
  this->observed_at = now;
  this->own_average =
      own_in_flight + (this->own_average - own_in_flight) * kept;
  if (!this->is_limiting) {
    if (load.mean <= load.harmful) return;
    this->is_limiting = true;
    this->limit = std::max<double>(this->own_average, own_in_flight);
    this->adjusted_at = now;
  }
  if (now - this->adjusted_at < kAdjustInterval) return;
  this->adjusted_at = now;
  const double mean = std::max(load.mean, kMinLoad);
  const double correction = std::pow(load.target / mean, kGain);
  this->limit *= correction;
  if (correction > 1) this->limit += kRise;
  // The limit rises until it does not bind, rather than end at once: what waits
  // at all hosts would else be sent together.
  const double ample = kAmple * this->own_average + kAmple;
  this->limit = std::min(this->limit, ample);
  this->is_limiting =
      load.mean >= kEndLoad * load.target || this->limit < ample;
}

}  // namespace burdockwheel::routing
