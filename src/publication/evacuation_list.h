// Which failure domains the operators have evacuated.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "publication/published_item.h"

namespace burdockwheel::publication {

// A domain that is evacuated from now on, or no longer.
struct EvacuationChange {
  model::FailureDomain failure_domain;
  bool is_evacuated = false;
  StoreRevision revision;  // of the platform

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

// An evacuation holds from when its item is read until the removal of the item
// is read; a platform that does not answer ends none. One that a restored
// platform lacks holds until the operators have had time to write it again.
// Pure.
class EvacuationList {
 public:
  // What a restored platform lacked is written again about two seconds after it
  // is back.
  static constexpr std::chrono::milliseconds kRestoreGrace{2100};

  // Passes over items that are no evacuations.
  void Observe(const PublishedItem& item);
  void ObserveGone(kernel::Instant now, const std::string& name,
                   const StoreRevision& revision);
  // The platform has come back from an older copy.
  void NoteRestored(kernel::Instant now) { this->restored_at = now; }

  // Makes the changes that time alone brings.
  void Advance(kernel::Instant now);
  // Returns when Advance has something to do, or nothing.
  std::optional<kernel::Instant> NextWake() const;

  std::set<model::FailureDomain> Domains() const;

  // Returns what changed since the last call, oldest first.
  std::vector<EvacuationChange> TakeChanges();

 private:
  void Remove(const std::string& name, const StoreRevision& revision);

  std::map<std::string, model::FailureDomain> evacuations;  // by item's name
  // Removed within the grace, with the revisions of their removals.
  std::map<std::string, StoreRevision> missing;
  std::optional<kernel::Instant> restored_at;
  std::vector<EvacuationChange> changes;
};

}  // namespace burdockwheel::publication
