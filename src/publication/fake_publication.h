// What a fake platform has published, for tests of those that read it.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <variant>
#include <vector>

#include "publication/published_item.h"
#include "publication/reader_events.h"

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
