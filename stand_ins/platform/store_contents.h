// The items of the store stand-in and the history of their changes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::stand_ins {

struct StoreItem {
  std::string key;
  std::string value;                  // any bytes
  std::uint64_t revision = 0;         // of the last change
  std::uint64_t create_revision = 0;  // of the creation
};

// An item as it was written, or the removal of one.
struct StoreEvent {
  StoreItem item;
  bool is_removal = false;
};

// Items under one revision counter, which rises with each change.
class StoreContents {
 public:
  // The counter starts above zero.
  static constexpr std::uint64_t kFirstRevision = 100;

  void Put(const std::string& key, std::string value);
  void Remove(const std::string& key);

  std::uint64_t Revision() const { return this->revision; }
  // Lets the counter go on from a higher revision.
  void RaiseRevision(std::uint64_t higher);
  const StoreItem* FindOrNull(const std::string& key) const;

  // Returns at most `most` items whose keys begin with `prefix` and come after
  // `after`, in the order of their keys.
  std::vector<StoreItem> Range(std::string_view prefix, std::string_view after,
                               std::size_t most) const;

  // Returns the changes after a revision to keys that begin with `prefix`, or
  // nothing if they are no longer all known.
  std::optional<std::vector<StoreEvent>> ChangesAfter(
      std::string_view prefix, std::uint64_t after) const;

  // Forgets all changes up to now.
  void Compact();

 private:
  std::map<std::string, StoreItem, std::less<>> items;
  std::deque<StoreEvent> history;
  std::uint64_t revision = kFirstRevision;
  std::uint64_t compacted = kFirstRevision;  // changes up to it are forgotten
};

}  // namespace burdockwheel::stand_ins
