// The slots of a worker and the queue in front of them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <optional>
#include <unordered_set>

namespace burdockwheel::stand_ins {

enum class Admission { kStarted, kQueued, kRefused };

// Decides which of the calls offered to a worker run, first come first served.
class SlotQueue {
 public:
  using CallNumber = std::uint64_t;

  SlotQueue(int slots, int most_queued)
      : slots(slots), most_queued(most_queued) {}

  // Takes a new call in. A refused call is forgotten.
  Admission Offer(CallNumber call);

  // Takes a running or queued call out.
  void Remove(CallNumber call);

  // Moves the oldest queued call to a free slot and returns it, if there are
  // both.
  std::optional<CallNumber> StartNextOrNull();

  // Changes the limits; running calls go on.
  void SetLimits(int new_slots, int new_most_queued);

  int RunningCount() const { return static_cast<int>(this->running.size()); }
  int QueuedCount() const { return static_cast<int>(this->queue.size()); }
  int Slots() const { return this->slots; }
  int MostQueued() const { return this->most_queued; }

  // The largest counts so far.
  int MostRunningSeen() const { return this->most_running_seen; }
  int MostQueuedSeen() const { return this->most_queued_seen; }

 private:
  void Start(CallNumber call);

  int slots;
  int most_queued;
  std::unordered_set<CallNumber> running;
  std::deque<CallNumber> queue;
  int most_running_seen = 0;
  int most_queued_seen = 0;
};

}  // namespace burdockwheel::stand_ins
