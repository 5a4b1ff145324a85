#include "stand_ins/platform/store_contents.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::stand_ins {

void StoreContents::Put(const std::string& key, std::string value) {
  ++this->revision;
  StoreItem& item = this->items[key];
  if (item.create_revision == 0) item.create_revision = this->revision;
  item.key = key;
  item.value = std::move(value);
  item.revision = this->revision;
  this->history.push_back({item, false});
}

void StoreContents::RaiseRevision(std::uint64_t higher) {
  this->revision = std::max(this->revision, higher);
}

void StoreContents::Remove(const std::string& key) {
  if (this->items.erase(key) == 0) return;
  ++this->revision;
  this->history.push_back({{key, "", this->revision, 0}, true});
}

const StoreItem* StoreContents::FindOrNull(const std::string& key) const {
  const auto found = this->items.find(key);
  return found == this->items.end() ? nullptr : &found->second;
}

std::vector<StoreItem> StoreContents::Range(std::string_view prefix,
                                            std::string_view after,
                                            std::size_t most) const {
  std::vector<StoreItem> found;
  for (const auto& [key, item] : this->items) {
    if (found.size() == most) break;
    if (!key.starts_with(prefix) || key <= after) continue;
    found.push_back(item);
  }
  return found;
}

std::optional<std::vector<StoreEvent>> StoreContents::ChangesAfter(
    std::string_view prefix, std::uint64_t after) const {
  if (after < this->compacted) return std::nullopt;
  std::vector<StoreEvent> changes;
  for (const auto& event : this->history) {
    if (event.item.revision <= after) continue;
    if (event.item.key.starts_with(prefix)) changes.push_back(event);
  }
  return changes;
}

void StoreContents::Compact() {
  this->compacted = this->revision;
  this->history.clear();
}

}  // namespace burdockwheel::stand_ins
