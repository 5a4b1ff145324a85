// Revisions in messages between hosts. Include it in source files only.
#pragma once

#include <algorithm>
#include <cstdint>
#include <limits>
#include <msgpack.hpp>
#include <optional>

#include "publication/store_revision.h"

namespace burdockwheel::publication {

// Hosts of former versions know a revision as one number, the era above 40 bits
// of revision, and cut both to what fits. Messages still begin with that
// number, and what it lacks follows at their end, where former hosts pass over
// it.
class WireRevision {
 public:
  static constexpr unsigned kNumberBits = 40;
  static constexpr std::uint64_t kMaxNumber =
      (std::uint64_t{1} << kNumberBits) - 1;
  static constexpr std::uint64_t kMaxEra =
      (std::uint64_t{1} << (64 - kNumberBits)) - 1;

  // What the one number lacks.
  struct Excess {
    std::uint64_t era = kUntold;
    std::uint64_t number = kUntold;

    MSGPACK_DEFINE(era, number)
  };

  static std::uint64_t Pack(const StoreRevision& revision) {
    return (std::min(revision.era, kMaxEra) << kNumberBits) |
           std::min(revision.number, kMaxNumber);
  }

  static Excess ExcessOf(const StoreRevision& revision) {
    return {revision.era - std::min(revision.era, kMaxEra),
            revision.number - std::min(revision.number, kMaxNumber)};
  }

  // Returns nothing if a host of a former version may have cut the revision.
  static std::optional<StoreRevision> Unpack(std::uint64_t packed,
                                             const Excess& excess) {
    const StoreRevision base(packed >> kNumberBits, packed & kMaxNumber);
    if (excess.era == kUntold || excess.number == kUntold) {
      const bool is_cut = base.era == kMaxEra || base.number == kMaxNumber;
      if (is_cut) return std::nullopt;
      return base;
    }
    const StoreRevision revision(base.era + excess.era,
                                 base.number + excess.number);
    // Beyond 64 bits.
    if (revision.era < base.era || revision.number < base.number)
      return std::nullopt;
    return revision;
  }

 private:
  static constexpr std::uint64_t kUntold =
      std::numeric_limits<std::uint64_t>::max();
};

}  // namespace burdockwheel::publication
