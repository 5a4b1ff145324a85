// What one host passes on to others of what it has read of the platform.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "publication/published_item.h"
#include "publication/store_revision.h"

namespace burdockwheel::publication {

// Turns a copy that is complete up to `from` into one that is complete up to
// `to`.
struct PublicationUpdate {
  StoreRevision from;
  StoreRevision to;
  std::vector<Change> changes;  // in the order of their revisions
};

std::string EncodeUpdate(const PublicationUpdate& update);

// Returns nothing for a body that is malformed or out of range, or of which a
// host of a former version has cut a revision.
std::optional<PublicationUpdate> TryDecodeUpdate(std::string_view body);

// Tells whether an update of `bytes` is to be sent to each of the peers. A
// larger one would fill the sender's link for longer than the peers need to
// read the platform.
bool IsWorthTelling(std::size_t bytes, std::size_t peers);

}  // namespace burdockwheel::publication
