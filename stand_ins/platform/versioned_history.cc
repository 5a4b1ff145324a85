#include "stand_ins/platform/versioned_history.h"

#include <utility>

namespace burdockwheel::stand_ins {

void VersionedHistory::Publish(PublishedDocument document) {
  this->documents.push_back(std::move(document));
  if (this->documents.size() > kMostDocuments) this->documents.pop_front();
}

const PublishedDocument* VersionedHistory::AsOfOrNull(
    kernel::Instant time) const {
  const PublishedDocument* found = nullptr;
  for (const PublishedDocument& document : this->documents) {
    if (document.published > time) break;
    found = &document;
  }
  return found;
}

const PublishedDocument* VersionedHistory::WithVersionOrNull(
    std::uint64_t version) const {
  const PublishedDocument* found = nullptr;
  for (const PublishedDocument& document : this->documents) {
    if (document.version == version) found = &document;
  }
  return found;
}

const PublishedDocument* VersionedHistory::LatestOrNull() const {
  return this->documents.empty() ? nullptr : &this->documents.back();
}

}  // namespace burdockwheel::stand_ins
