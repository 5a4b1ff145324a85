// Estimates how long a worker takes for one call on a free slot.
#pragma once

#include <chrono>

#include "kernel/instant.h"
#include "routing/router_settings.h"

namespace burdockwheel::routing {

class SpeedEstimate {
 public:
  explicit SpeedEstimate(const SpeedSettings& settings);

  // Takes the latency of an answered call. `load_factor` is by how much the
  // worker's queue at that time prolonged it, at least 1.
  void ObserveAnswer(kernel::Instant now, std::chrono::nanoseconds latency,
                     double load_factor);

  // Takes the age at which an attempt was given up without an answer: its
  // latency would have been longer.
  void ObserveLowerBound(kernel::Instant now, std::chrono::nanoseconds age,
                         double load_factor);

  // Returns the time of a call on a free slot, or zero without any sample.
  std::chrono::nanoseconds ServiceTime() const { return this->service_time; }

  // Returns the service time in the light of an attempt that is still out at
  // `oldest_age`, while `answers_since` answers came that started later.
  // `typical` stands in without samples.
  std::chrono::nanoseconds EffectiveServiceTime(
      std::chrono::nanoseconds typical, std::chrono::nanoseconds oldest_age,
      int answers_since, double load_factor) const;

 private:
  const SpeedSettings& settings;
  std::chrono::nanoseconds service_time{0};
  kernel::Instant sampled_at;
};

}  // namespace burdockwheel::routing
