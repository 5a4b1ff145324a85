#include "engine/hedge_budget.h"

#include <algorithm>

namespace burdockwheel::engine {

namespace {

constexpr double kSmoothing = 0.05;

}  // namespace

void HedgeBudget::RecordFirstTry(std::chrono::nanoseconds time) {
  const std::chrono::duration<double> taken = time;
  if (this->mean_time.count() == 0) this->mean_time = taken;
  this->mean_time += kSmoothing * (taken - this->mean_time);
  this->calls = std::min(this->calls + this->limit.call_share, kMaxSaved);
  this->time = std::min(this->time + this->limit.time_share * taken,
                        kMaxSaved * this->mean_time);
}

std::optional<double> HedgeBudget::MinGain() const {
  if (this->calls < 1 || this->time < this->mean_time) return std::nullopt;
  if (this->mean_time.count() == 0) return std::nullopt;
  const double saved = std::min(this->calls, this->time / this->mean_time) - 1;
  const double fill = std::clamp(saved / (kMaxSaved - 1), 0.0, 1.0);
  return std::max(
      kMinGainWhenFull,
      kMinGainWhenLow - fill * (kMinGainWhenLow - kMinGainWhenFull));
}

void HedgeBudget::RecordStart(std::chrono::nanoseconds expected) {
  this->calls -= 1;
  this->time -= expected;
  this->counts.started += 1;
}

// A hedge that took longer than expected is paid for by later calls.
void HedgeBudget::RecordEnd(std::chrono::nanoseconds expected,
                            std::chrono::nanoseconds taken) {
  this->time += expected;
  this->time -= taken;
  this->counts.time += taken;
}

}  // namespace burdockwheel::engine
