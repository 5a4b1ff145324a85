// What the platform publishes, as the rest of a host sees it.
#pragma once

#include <cstdint>
#include <string>
#include <variant>

#include "model/worker_record.h"
#include "publication/store_revision.h"

namespace burdockwheel::publication {

// The configuration of the deployment as a document that
// configuration::ParseFleetConfiguration reads.
struct PublishedConfiguration {
  std::string document;
};

// A worker's own record. Of two records of one life of a worker the one with
// the higher sequence is the newer, in whatever order they arrive.
struct PublishedWorker {
  model::WorkerRecord record;
  std::uint64_t sequence = 0;
};

// The operators' request that nothing is sent to the workers of a failure
// domain. It holds until the item is removed.
struct PublishedEvacuation {
  model::FailureDomain failure_domain;
};

// An item whose bytes are none of the above though its name says so.
struct UnreadableItem {
  std::string reason;
};

// An item that is none of a host's business.
struct UnrelatedItem {};

using ItemContent =
    std::variant<UnrelatedItem, PublishedConfiguration, PublishedWorker,
                 PublishedEvacuation, UnreadableItem>;

struct PublishedItem {
  std::string name;        // unique among the items
  StoreRevision revision;  // of the platform, at the item's last change
  ItemContent content;
};

struct RemovedItem {
  std::string name;
  StoreRevision revision;  // of the platform, at the removal
};

using Change = std::variant<PublishedItem, RemovedItem>;

}  // namespace burdockwheel::publication
