#include "stand_ins/worker/slot_queue.h"

#include <algorithm>

namespace burdockwheel::stand_ins {

Admission SlotQueue::Offer(CallNumber call) {
  if (this->queue.empty() && this->RunningCount() < this->slots) {
    this->Start(call);
    return Admission::kStarted;
  }
  if (this->QueuedCount() >= this->most_queued) return Admission::kRefused;
  this->queue.push_back(call);
  this->most_queued_seen =
      std::max(this->most_queued_seen, this->QueuedCount());
  return Admission::kQueued;
}

void SlotQueue::Remove(CallNumber call) {
  if (this->running.erase(call) > 0) return;
  std::erase(this->queue, call);
}

std::optional<SlotQueue::CallNumber> SlotQueue::StartNextOrNull() {
  if (this->queue.empty()) return std::nullopt;
  if (this->RunningCount() >= this->slots) return std::nullopt;
  const CallNumber call = this->queue.front();
  this->queue.pop_front();
  this->Start(call);
  return call;
}

void SlotQueue::SetLimits(int new_slots, int new_most_queued) {
  this->slots = new_slots;
  this->most_queued = new_most_queued;
}

void SlotQueue::Start(CallNumber call) {
  this->running.insert(call);
  this->most_running_seen =
      std::max(this->most_running_seen, this->RunningCount());
}

}  // namespace burdockwheel::stand_ins
