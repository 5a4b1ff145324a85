// Runs scheduled steps in order of time on a simulated clock. For tests.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <queue>
#include <utility>
#include <vector>

#include "kernel/instant.h"

namespace burdockwheel::engine::testing {

class EventLoop {
 public:
  kernel::Instant Now() const { return this->now; }

  void ScheduleAfter(std::chrono::nanoseconds delay,
                     std::function<void()> step) {
    this->ScheduleAt(this->now + delay, std::move(step));
  }

  void ScheduleAt(kernel::Instant at, std::function<void()> step) {
    this->steps.push({at, this->next_number++, std::move(step)});
  }

  // Runs the steps that are due by `end` and advances the clock to `end`.
  void RunUntil(kernel::Instant end) {
    while (!this->steps.empty() && this->steps.top().at <= end) {
      const Step step = this->steps.top();
      this->steps.pop();
      this->now = std::max(this->now, step.at);
      step.run();
    }
    this->now = end;
  }

  void RunFor(std::chrono::nanoseconds time) {
    this->RunUntil(this->now + time);
  }

 private:
  struct Step {
    kernel::Instant at;
    std::uint64_t number;  // orders steps that are due at the same time
    std::function<void()> run;

    friend bool operator<(const Step& left, const Step& right) {
      return std::pair(left.at, left.number) >
             std::pair(right.at, right.number);
    }
  };

  kernel::Instant now{std::chrono::hours(1)};
  std::uint64_t next_number = 0;
  std::priority_queue<Step> steps;
};

}  // namespace burdockwheel::engine::testing
