// The changing speed of a worker.
#pragma once

#include <chrono>
#include <cstdint>
#include <random>

#include "kernel/instant.h"
#include "stand_ins/worker/worker_controls.h"

namespace burdockwheel::stand_ins {

// How a worker starts: each call takes `factor` times as long at first, and
// the excess shrinks evenly to nothing over `length`.
struct ColdStart {
  std::chrono::milliseconds length{0};
  double factor = 1;
};

// Gives the factor by which the service times of a worker are longer at a time.
class WorkerSpeed {
 public:
  WorkerSpeed(ColdStart cold_start, kernel::Instant start, std::uint64_t seed)
      : cold_start(cold_start), start(start), generator(seed) {}

  // Times must not fall from call to call.
  double FactorAt(kernel::Instant now, const WorkerControls& controls);

 private:
  double ColdFactorAt(kernel::Instant now) const;
  double NoiseFactorAt(kernel::Instant now, const NoiseControl& noise);

  ColdStart cold_start;
  kernel::Instant start;
  std::mt19937_64 generator;
  kernel::Instant noise_begin;
  kernel::Instant noise_end;
};

}  // namespace burdockwheel::stand_ins
