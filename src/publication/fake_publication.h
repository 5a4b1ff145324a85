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
  explicit FakePublication(const StoreRevision& revision)
      : revision(revision) {}

  void Put(const std::string& name, const ItemContent& content = {}) {
    this->revision.number += 1;
    this->items[name] = this->revision;
    this->history.emplace_back(PublishedItem{name, this->revision, content});
  }

  void Remove(const std::string& name) {
    this->items.erase(name);
    this->revision.number += 1;
    this->history.emplace_back(RemovedItem{name, this->revision});
  }

  // The platform forgets the changes up to now.
  void Compact() { this->compacted = this->revision; }

  // The platform comes back from a copy that lacks what was written since
  // revision `number`. Items that were changed since are missing.
  void RestoreFromCopyOf(std::uint64_t number) {
    const auto era = this->revision.era + 1;
    std::map<std::string, StoreRevision> copy;
    for (const auto& [name, item_revision] : this->items) {
      if (item_revision.number <= number)
        copy[name] = StoreRevision(era, item_revision.number);
    }
    this->items = std::move(copy);
    this->history.clear();
    this->revision = StoreRevision(era, number);
    this->compacted = this->revision;
  }

  // Tells whether a watch from the revision cannot be answered.
  bool IsHistoryGone(const StoreRevision& after) const {
    return after < this->compacted || after.era != this->revision.era;
  }

  // Returns the changes after a revision, compacted or not.
  ChangeBatch ChangesAfter(const StoreRevision& after) const {
    ChangeBatch batch;
    batch.revision = this->revision;
    for (const auto& change : this->history) {
      const auto at = std::visit(
          [](const auto& concrete) { return concrete.revision; }, change);
      if (at > after) batch.changes.push_back(change);
    }
    return batch;
  }

  std::map<std::string, StoreRevision> items;  // with their revisions
  std::vector<Change> history;
  StoreRevision revision;
  StoreRevision compacted;
};

}  // namespace burdockwheel::publication
