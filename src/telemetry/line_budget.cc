#include "telemetry/line_budget.h"

#include <algorithm>
#include <chrono>

namespace burdockwheel::telemetry {

LineBudget::LineBudget(double lines_per_second)
    : lines_per_second(lines_per_second), available(lines_per_second) {}

void LineBudget::SetRate(double lines_per_second) {
  this->lines_per_second = lines_per_second;
  this->available = std::min(this->available, lines_per_second);
}

bool LineBudget::TryTake(kernel::Instant now, int lines) {
  if (now > this->filled_at) {
    const std::chrono::duration<double> passed = now - this->filled_at;
    this->available =
        std::min(this->lines_per_second,
                 this->available + passed.count() * this->lines_per_second);
    this->filled_at = now;
  }
  if (this->available < lines) {
    this->suppressed += static_cast<std::uint64_t>(lines);
    return false;
  }
  this->available -= lines;
  return true;
}

}  // namespace burdockwheel::telemetry
