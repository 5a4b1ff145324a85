// Revisions of a platform that may come back from an older copy of itself.
#pragma once

#include <cstdint>

namespace burdockwheel::publication {

// A platform that is restored from a copy gives revisions out again. Its era
// rises by one each time, so that what is newest is decided by the era first. A
// host keeps both in one number: the era above the revision within it. Without
// eras, which is era 0, the number is the platform's own revision.
constexpr int kRevisionBits = 40;
constexpr std::uint64_t kMaxRevisionInEra =
    (std::uint64_t{1} << static_cast<unsigned>(kRevisionBits)) - 1;
constexpr std::uint64_t kMaxEra =
    (std::uint64_t{1} << static_cast<unsigned>(64 - kRevisionBits)) - 1;

constexpr std::uint64_t JoinRevision(std::uint64_t era,
                                     std::uint64_t revision_in_era) {
  return (era << static_cast<unsigned>(kRevisionBits)) | revision_in_era;
}
constexpr std::uint64_t EraOf(std::uint64_t revision) {
  return revision >> static_cast<unsigned>(kRevisionBits);
}
constexpr std::uint64_t RevisionInEra(std::uint64_t revision) {
  return revision & kMaxRevisionInEra;
}

}  // namespace burdockwheel::publication
