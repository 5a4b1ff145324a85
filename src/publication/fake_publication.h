// What a fake platform has published, for tests of those that read it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "publication/published_item.h"
#include "publication/reader_events.h"
#include "publication/store_revision.h"

namespace burdockwheel::publication {

class FakePublication {
 public:
  explicit FakePublication(std::uint64_t revision) : revision(revision) {}

  void Put(const std::string& name, const ItemContent& content = {}) {
    this->items[name] = ++this->revision;
    this->history.emplace_back(PublishedItem{name, this->revision, content});
  }

  void Remove(const std::string& name) {
    this->items.erase(name);
    this->history.emplace_back(RemovedItem{name, ++this->revision});
  }

  // The platform forgets the changes up to now.
  void Compact() { this->compacted = this->revision; }

  // The platform comes back from a copy that lacks what was written since
  // `revision_in_era`. Items that were changed since are missing.
  void RestoreFromCopyOf(std::uint64_t revision_in_era) {
    const auto era = EraOf(this->revision) + 1;
    std::map<std::string, std::uint64_t> copy;
    for (const auto& [name, item_revision] : this->items) {
      if (RevisionInEra(item_revision) <= revision_in_era)
        copy[name] = JoinRevision(era, RevisionInEra(item_revision));
    }
    this->items = std::move(copy);
    this->history.clear();
    this->revision = JoinRevision(era, revision_in_era);
    this->compacted = this->revision;
  }

  // Tells whether a watch from the revision cannot be answered.
  bool IsHistoryGone(std::uint64_t after) const {
    return after < this->compacted || EraOf(after) != EraOf(this->revision);
  }

  // Returns the changes after a revision, compacted or not.
  ChangeBatch ChangesAfter(std::uint64_t after) const {
    ChangeBatch batch;
    batch.revision = this->revision;
    for (const auto& change : this->history) {
      const auto at = std::visit(
          [](const auto& concrete) { return concrete.revision; }, change);
      if (at > after) batch.changes.push_back(change);
    }
    return batch;
  }

  std::map<std::string, std::uint64_t> items;  // with their revisions
  std::vector<Change> history;
  std::uint64_t revision;
  std::uint64_t compacted = 0;
};

}  // namespace burdockwheel::publication
