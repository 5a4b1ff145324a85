// The documents that have been published under one name.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <string>

#include "kernel/instant.h"

namespace burdockwheel::stand_ins {

struct PublishedDocument {
  std::uint64_t version = 0;
  std::string text;
  kernel::Instant published;
};

// Keeps the latest documents in order of publication. It trusts the publisher:
// versions may fall or repeat.
class VersionedHistory {
 public:
  void Publish(PublishedDocument document);

  // Returns the document that was the latest at `time`, or null if there was
  // none.
  const PublishedDocument* AsOfOrNull(kernel::Instant time) const;

  // Returns the last document with this version, or null.
  const PublishedDocument* WithVersionOrNull(std::uint64_t version) const;

  const PublishedDocument* LatestOrNull() const;

 private:
  static constexpr std::size_t kMostDocuments = 64;

  std::deque<PublishedDocument> documents;
};

}  // namespace burdockwheel::stand_ins
