#include "publication/worker_directory.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::publication {

std::string_view DirectoryCauseName(DirectoryCause cause) {
  switch (cause) {
    case DirectoryCause::kListed:
      return "listed";
    case DirectoryCause::kChanged:
      return "changed";
    case DirectoryCause::kDrainListed:
      return "drain-listed";
    case DirectoryCause::kRemoved:
      return "removed";
    case DirectoryCause::kLapsed:
      return "lapsed";
    case DirectoryCause::kLapseOver:
      return "lapse-over";
    case DirectoryCause::kListedAgain:
      return "listed-again";
    case DirectoryCause::kStaleIgnored:
      return "stale-ignored";
    case DirectoryCause::kUnreadable:
      return "unreadable";
  }
  return "unspecified";
}

void WorkerDirectory::Observe(const PublishedItem& item) {
  if (const auto* worker = std::get_if<PublishedWorker>(&item.content)) {
    this->ObserveWorker(item, *worker);
    return;
  }
  const auto* unreadable = std::get_if<UnreadableItem>(&item.content);
  if (unreadable == nullptr) return;
  // Somebody else has written over the worker's record, or invented one. What
  // the worker said itself stands until it is removed.
  this->changes.push_back({{item.name},
                           DirectoryCause::kUnreadable,
                           item.revision,
                           "reason=" + unreadable->reason});
}

void WorkerDirectory::ObserveWorker(const PublishedItem& item,
                                    const PublishedWorker& worker) {
  const auto found = this->entries.find(item.name);
  if (found == this->entries.end()) {
    Entry& added = this->entries[item.name];
    added.record = worker.record;
    added.sequence = worker.sequence;
    this->Note(added, DirectoryCause::kListed, item.revision);
    return;
  }
  Entry& entry = found->second;
  if (IsStale(entry, worker)) {
    this->Note(entry, DirectoryCause::kStaleIgnored, item.revision);
    return;
  }
  const bool is_new_life = worker.record.incarnation > entry.record.incarnation;
  const bool was_leaving =
      !is_new_life && entry.record.state == model::WorkerState::kLeaving;
  const bool was_listed = entry.is_listed && !entry.lapsed_at;
  const auto before = std::exchange(entry.record, worker.record);
  entry.sequence = worker.sequence;
  entry.is_listed = true;
  entry.lapsed_at.reset();
  if (was_leaving) entry.record.state = model::WorkerState::kLeaving;
  const bool is_leaving = entry.record.state == model::WorkerState::kLeaving;
  auto cause = DirectoryCause::kChanged;
  if (is_new_life) {
    cause = DirectoryCause::kListed;
  } else if (is_leaving && !was_leaving) {
    cause = DirectoryCause::kDrainListed;
  } else if (!was_listed) {
    cause = DirectoryCause::kListedAgain;
  } else if (before == entry.record) {
    return;
  }
  this->Note(entry, cause, item.revision);
}

bool WorkerDirectory::IsStale(const Entry& entry,
                              const PublishedWorker& worker) {
  if (worker.record.incarnation != entry.record.incarnation)
    return worker.record.incarnation < entry.record.incarnation;
  // A life that was removed can only be listed again by a newer record.
  if (!entry.is_listed) return worker.sequence <= entry.sequence;
  return worker.sequence < entry.sequence;
}

void WorkerDirectory::ObserveGone(kernel::Instant now, const std::string& name,
                                  const StoreRevision& revision) {
  const auto found = this->entries.find(name);
  if (found == this->entries.end() || !found->second.is_listed) return;
  Entry& entry = found->second;
  if (!this->IsSourceSound(now) &&
      entry.record.state != model::WorkerState::kLeaving) {
    if (entry.lapsed_at) return;
    entry.lapsed_at = now;
    this->Note(entry, DirectoryCause::kLapsed, revision);
    return;
  }
  entry.is_listed = false;
  entry.lapsed_at.reset();
  entry.removed_at = now;
  this->Note(entry, DirectoryCause::kRemoved, revision);
}

void WorkerDirectory::NoteSourceLost() { this->is_source_lost = true; }

void WorkerDirectory::NoteSourceRegained(kernel::Instant now) {
  this->is_source_lost = false;
  this->regained_at = now;
}

bool WorkerDirectory::IsSourceSound(kernel::Instant now) const {
  if (this->is_source_lost) return false;
  return !this->regained_at || now - *this->regained_at >= kLapseGrace;
}

void WorkerDirectory::Advance(kernel::Instant now) {
  const bool is_sound = this->IsSourceSound(now);
  for (auto entry = this->entries.begin(); entry != this->entries.end();) {
    Entry& held = entry->second;
    if (held.lapsed_at && is_sound) {
      held.is_listed = false;
      held.lapsed_at.reset();
      held.removed_at = now;
      this->Note(held, DirectoryCause::kLapseOver, {});
    }
    const bool is_forgotten =
        !held.is_listed && now - held.removed_at >= kTombstoneAge;
    entry = is_forgotten ? this->entries.erase(entry) : std::next(entry);
  }
}

std::optional<kernel::Instant> WorkerDirectory::NextWake() const {
  if (this->is_source_lost || !this->regained_at) return std::nullopt;
  const bool has_lapsed = std::ranges::any_of(
      this->entries,
      [](const auto& entry) { return entry.second.lapsed_at.has_value(); });
  if (!has_lapsed) return std::nullopt;
  return *this->regained_at + kLapseGrace;
}

std::vector<model::WorkerRecord> WorkerDirectory::Records() const {
  std::vector<model::WorkerRecord> records;
  records.reserve(this->entries.size());
  for (const auto& [name, entry] : this->entries) {
    if (!entry.is_listed) continue;
    records.push_back(entry.record);
    records.back().is_doubtful = entry.lapsed_at.has_value();
    records.back().is_evacuated =
        this->evacuated.contains(entry.record.failure_domain);
  }
  return records;
}

std::vector<DirectoryChange> WorkerDirectory::TakeChanges() {
  return std::exchange(this->changes, {});
}

void WorkerDirectory::Note(const Entry& entry, DirectoryCause cause,
                           const StoreRevision& revision) {
  this->changes.push_back(
      {entry.record.id, cause, revision,
       "service=" + entry.record.service.value +
           " address=" + entry.record.address.value +
           " incarnation=" + std::to_string(entry.record.incarnation) +
           " sequence=" + std::to_string(entry.sequence)});
}

}  // namespace burdockwheel::publication
