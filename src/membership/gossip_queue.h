// Selects the member changes and crash hints that heartbeats carry.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <vector>

#include "kernel/instant.h"
#include "membership/crash_hint.h"
#include "membership/member.h"
#include "model/identifiers.h"

namespace burdockwheel::membership {

// Counts how often each change was sent. Changes are sent in ascending order of
// how often they were sent; each is sent a number of times that grows with the
// logarithm of the number of members (SWIM, section 4.1).
class GossipQueue {
 public:
  // A hint is removed at the latest this long after it was added or its crash
  // count last rose.
  static constexpr std::chrono::seconds kHintLifetime{30};
  static constexpr std::size_t kMaxHints = 64;

  // Queues a change, or counts one that is queued already from zero again.
  void AddChange(model::Incarnation incarnation);
  void Forget(model::Incarnation incarnation);

  // Returns whether the hint is new or has a higher crash count than the queued
  // one.
  bool TryAddHint(kernel::Instant now, const CrashHint& hint);

  // Returns the changed members in ascending order of how often they were sent.
  std::vector<model::Incarnation> ChangesBySendCount() const;
  // Removes expired hints and returns those that may still be sent, in
  // ascending order of how often they were sent.
  std::vector<CrashHint> RemoveExpiredAndListHints(kernel::Instant now);

  // Counts a transmission of the change, and removes the change once it reaches
  // the limit for a fleet of `member_count` members.
  void RecordChangeSent(model::Incarnation incarnation,
                        std::size_t member_count);
  void RecordHintSent(const CrashHint& hint);

  // Returns how often a change is sent in a fleet of `member_count` members.
  static int TransmissionLimit(std::size_t member_count);

 private:
  struct QueuedHint {
    CrashHint hint;
    int transmissions = 0;
    kernel::Instant expiry;
  };

  std::map<std::uint64_t, int> transmissions_by_incarnation;
  std::vector<QueuedHint> hints;
};

}  // namespace burdockwheel::membership
