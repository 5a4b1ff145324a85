#include "routing/warm_up_state.h"

#include <algorithm>

namespace burdockwheel::routing {

void WarmUpState::ObserveRecord(kernel::Instant now,
                                std::chrono::nanoseconds remaining,
                                bool is_new_life) {
  const auto warm_at = now + remaining;
  if (is_new_life) {
    this->warm_at = warm_at;
    this->reported_at.reset();
    return;
  }
  // A record that was written before the newest report knows less.
  if (!this->reported_at) this->warm_at = std::max(this->warm_at, warm_at);
}

void WarmUpState::ObserveReport(kernel::Instant measured_at,
                                std::chrono::nanoseconds remaining) {
  if (this->reported_at && measured_at < *this->reported_at) return;
  this->reported_at = measured_at;
  this->warm_at = measured_at + remaining;
  if (this->unproven_since && measured_at > *this->unproven_since)
    this->unproven_since.reset();
}

bool WarmUpState::IsCold(kernel::Instant now,
                         std::chrono::nanoseconds duration) const {
  if (this->IsSlow(now)) return true;
  // Without an answer to a probe, a warm-up has passed all the same.
  return this->unproven_since && now < *this->unproven_since + duration;
}

void WarmUpState::NoteSent(kernel::Instant now) {
  while (!this->sent.empty() && now - this->sent.front() > kCountedTime)
    this->sent.pop_front();
  this->sent.push_back(now);
}

int WarmUpState::CountSent(kernel::Instant now) const {
  return static_cast<int>(std::ranges::count_if(
      this->sent,
      [now](kernel::Instant time) { return now - time <= kCountedTime; }));
}

}  // namespace burdockwheel::routing
