// Where in the history of the platform's store something happened.
#pragma once

#include <compare>
#include <cstdint>

namespace burdockwheel::publication {

// A store that is restored from an older copy of itself gives its numbers out
// again, and its era rises by one, so that the era is compared first. Both have
// all 64 bits that the store may use. A store without eras is in era 0. The
// lowest revision stands for none.
struct StoreRevision {
  constexpr StoreRevision() = default;
  constexpr StoreRevision(std::uint64_t era, std::uint64_t number)
      : era(era), number(number) {}

  friend constexpr bool operator==(const StoreRevision&,
                                   const StoreRevision&) = default;
  friend constexpr std::strong_ordering operator<=>(
      const StoreRevision& left, const StoreRevision& right) {
    if (left.era != right.era) return left.era <=> right.era;
    return left.number <=> right.number;
  }

  std::uint64_t era = 0;
  std::uint64_t number = 0;
};

}  // namespace burdockwheel::publication
