// Forecasts when a worker would answer a call.
#pragma once

#include <chrono>

#include "routing/noise_model.h"

namespace burdockwheel::routing {

// What is known of a worker for one call.
struct ForecastInput {
  // The call's work on this worker at its usual speed.
  std::chrono::nanoseconds work{0};
  // Until a slot is free and the answer is back, without the work itself.
  std::chrono::nanoseconds overhead{0};
  // The chance that the worker's machine is slowed by neighbours, and by how
  // much if it is.
  double slowed_chance = 0;
  double slowdown = 1;
};

// Returns the time at which the answer is expected, from now.
std::chrono::nanoseconds ExpectedTime(const ForecastInput& input,
                                      const NoiseModel& noise);

// Returns the chance that the answer is there within `time`.
double ChanceWithin(std::chrono::nanoseconds time, const ForecastInput& input,
                    const NoiseModel& noise);

}  // namespace burdockwheel::routing
