// Orders the timers of an engine by time.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"

namespace burdockwheel::engine {

class ServiceState;

// A time at which a call or a service has something to do. Timers are never
// cancelled: the handler checks whether there is still something to do.
struct Timer {
  kernel::Instant at;
  model::CallId call;
  std::shared_ptr<ServiceState> service;  // null: the timer is the call's

  friend bool operator>(const Timer& left, const Timer& right) {
    return left.at > right.at;
  }
};

class TimerQueue {
 public:
  void Push(Timer timer) { this->timers.push(std::move(timer)); }

  // Removes and returns the earliest timer, or nothing if none is due.
  std::optional<Timer> TryTake(kernel::Instant now) {
    if (this->timers.empty() || this->timers.top().at > now)
      return std::nullopt;
    Timer timer = this->timers.top();
    this->timers.pop();
    return timer;
  }

  // Returns the time of the earliest timer, Instant::max() if there is none.
  kernel::Instant Earliest() const {
    if (this->timers.empty()) return kernel::Instant::max();
    return this->timers.top().at;
  }

 private:
  std::priority_queue<Timer, std::vector<Timer>, std::greater<>> timers;
};

}  // namespace burdockwheel::engine
