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

// Counts how often each change was sent. Changes that were sent least often go
// first; each is sent a number of times that grows with the logarithm of the
// number of members (SWIM, section 4.1).
class GossipQueue {
 public:
  // Limits how long a hint is sent and kept.
  static constexpr std::chrono::seconds kHintLifetime{30};
  static constexpr std::size_t kMaxHints = 64;

  void AddChange(model::Incarnation incarnation);
  void Forget(model::Incarnation incarnation);

  // Returns whether the hint is new or has a higher crash count than the queued
  // one.
  bool TryAddHint(kernel::Instant now, const CrashHint& hint);

  // Returns the changed members, those sent least often first.
  std::vector<model::Incarnation> ChangesBySendCount() const;
  // Removes expired hints and returns those that may still be sent, those sent
  // least often first.
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
