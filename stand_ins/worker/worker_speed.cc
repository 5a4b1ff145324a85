#include "stand_ins/worker/worker_speed.h"

namespace burdockwheel::stand_ins {
namespace {

std::chrono::nanoseconds DrawLength(std::chrono::milliseconds mean,
                                    std::mt19937_64* generator) {
  const double factor = std::exponential_distribution<double>(1)(*generator);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      std::chrono::duration<double, std::milli>(
          factor * static_cast<double>(mean.count())));
}

}  // namespace

double WorkerSpeed::FactorAt(kernel::Instant now,
                             const WorkerControls& controls) {
  return controls.slow_factor * this->ColdFactorAt(now) *
         this->NoiseFactorAt(now, controls.noise);
}

double WorkerSpeed::ColdFactorAt(kernel::Instant now) const {
  const std::chrono::duration<double> age = now - this->start;
  const std::chrono::duration<double> length = this->cold_start.length;
  if (age >= length) return 1;
  return 1 + (this->cold_start.factor - 1) * (1 - age / length);
}

double WorkerSpeed::NoiseFactorAt(kernel::Instant now,
                                  const NoiseControl& noise) {
  if (noise.mean_gap.count() == 0) return 1;
  // Draws the spells that have passed since the last look.
  while (this->noise_end <= now) {
    if (this->noise_end == kernel::Instant()) this->noise_end = now;
    this->noise_begin =
        this->noise_end + DrawLength(noise.mean_gap, &this->generator);
    this->noise_end = this->noise_begin +
                      DrawLength(noise.mean_length, &this->generator) +
                      std::chrono::nanoseconds(1);
  }
  return this->noise_begin <= now ? noise.factor : 1;
}

}  // namespace burdockwheel::stand_ins
