#include "publication/evacuation_list.h"

#include <utility>
#include <variant>

namespace burdockwheel::publication {

void EvacuationList::Observe(const PublishedItem& item) {
  const auto* evacuation = std::get_if<PublishedEvacuation>(&item.content);
  if (evacuation == nullptr) return;
  this->missing.erase(item.name);
  const bool is_new =
      this->evacuations.try_emplace(item.name, evacuation->failure_domain)
          .second;
  // Writing the item once more changes nothing.
  if (!is_new) return;
  this->changes.push_back({evacuation->failure_domain, true, item.revision});
}

void EvacuationList::ObserveGone(kernel::Instant now, const std::string& name,
                                 const StoreRevision& revision) {
  const bool is_graced =
      this->restored_at && now - *this->restored_at < kRestoreGrace;
  if (is_graced && this->evacuations.contains(name)) {
    this->missing[name] = revision;
    return;
  }
  this->Remove(name, revision);
}

void EvacuationList::Advance(kernel::Instant now) {
  if (this->missing.empty() || now < *this->restored_at + kRestoreGrace) return;
  for (const auto& [name, revision] : std::exchange(this->missing, {}))
    this->Remove(name, revision);
}

std::optional<kernel::Instant> EvacuationList::NextWake() const {
  if (this->missing.empty()) return std::nullopt;
  return *this->restored_at + kRestoreGrace;
}

void EvacuationList::Remove(const std::string& name,
                            const StoreRevision& revision) {
  const auto found = this->evacuations.find(name);
  if (found == this->evacuations.end()) return;
  this->changes.push_back({std::move(found->second), false, revision});
  this->evacuations.erase(found);
}

std::set<model::FailureDomain> EvacuationList::Domains() const {
  std::set<model::FailureDomain> domains;
  for (const auto& [name, domain] : this->evacuations) domains.insert(domain);
  return domains;
}

std::vector<EvacuationChange> EvacuationList::TakeChanges() {
  return std::exchange(this->changes, {});
}

}  // namespace burdockwheel::publication
