#include "http/deadline_queue.h"

#include <utility>

namespace burdockwheel::http {

DeadlineQueue::DeadlineQueue(boost::asio::io_context& context)
    : timer(context) {}

DeadlineQueue::Handle DeadlineQueue::Add(kernel::Instant time,
                                         Function function) {
  const auto handle = this->functions.emplace(time, std::move(function));
  this->Arm();
  return handle;
}

void DeadlineQueue::Cancel(Handle handle) { this->functions.erase(handle); }

// The timer is only ever moved to an earlier time; a wake-up for a cancelled
// deadline is cheaper than arming the timer again at each change.
void DeadlineQueue::Arm() {
  if (this->functions.empty()) return;
  const auto first = this->functions.begin()->first;
  if (first >= this->armed_for) return;
  this->armed_for = first;
  this->timer.expires_at(first);
  this->timer.async_wait(
      this->lifetime.Guard([this](const boost::system::error_code& error) {
        if (error) return;
        this->armed_for = kernel::Instant::max();
        this->CallExpired();
        this->Arm();
      }));
}

void DeadlineQueue::CallExpired() {
  const auto now = std::chrono::steady_clock::now();
  while (!this->functions.empty() && this->functions.begin()->first <= now) {
    const auto function = std::move(this->functions.begin()->second);
    this->functions.erase(this->functions.begin());
    function();
  }
}

}  // namespace burdockwheel::http
