// Which failure domains the operators have evacuated.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <vector>

#include "model/identifiers.h"
#include "publication/published_item.h"

namespace burdockwheel::publication {

// A domain that is evacuated from now on, or no longer.
struct EvacuationChange {
  model::FailureDomain failure_domain;
  bool is_evacuated = false;
  std::uint64_t revision = 0;  // of the platform

  friend bool operator==(const EvacuationChange&,
                         const EvacuationChange&) = default;
};

// An evacuation holds from when its item is read until the removal of the item
// is read; a platform that does not answer ends none. Pure.
class EvacuationList {
 public:
  // Passes over items that are no evacuations.
  void Observe(const PublishedItem& item);
  void ObserveGone(const std::string& name, std::uint64_t revision);

  std::set<model::FailureDomain> Domains() const;

  // Returns what changed since the last call, oldest first.
  std::vector<EvacuationChange> TakeChanges();

 private:
  std::map<std::string, model::FailureDomain> evacuations;  // by item's name
  std::vector<EvacuationChange> changes;
};

}  // namespace burdockwheel::publication
