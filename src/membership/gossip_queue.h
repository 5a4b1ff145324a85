// Chooses what a heartbeat tells of other members.
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

// Counts how often each change was told. Changes that were told least go
// first; each goes out a number of times that rises with the logarithm of the
// number of members (SWIM, section 4.1).
class GossipQueue {
 public:
  // Hints are told and remembered for this long.
  static constexpr std::chrono::seconds kHintLifetime{30};
  static constexpr std::size_t kMostHints = 64;

  void AddChange(model::Incarnation incarnation);
  void Forget(model::Incarnation incarnation);

  // Returns whether the hint says more than what is held.
  bool TryAddHint(kernel::Instant now, const CrashHint& hint);

  // Returns changed members in the order in which they should be told.
  std::vector<model::Incarnation> ChangesInOrder() const;
  std::vector<CrashHint> HintsInOrder(kernel::Instant now);

  // Notes that these were told, in a fleet of `member_count`.
  void RecordChangeSent(model::Incarnation incarnation,
                        std::size_t member_count);
  void RecordHintSent(const CrashHint& hint);

  // Returns how often a change is told in a fleet of `member_count`.
  static int TransmissionLimit(std::size_t member_count);

 private:
  struct QueuedHint {
    CrashHint hint;
    int transmissions = 0;
    kernel::Instant expiry;
  };

  std::map<std::uint64_t, int> transmissions_by_incarnation;  // by incarnation
  std::vector<QueuedHint> hints;
};

}  // namespace burdockwheel::membership
