// What the reading of the platform wants done: the output of
// PublicationReader.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "publication/publication_source.h"
#include "publication/publication_update.h"
#include "publication/published_item.h"
#include "publication/reader_beacon.h"
#include "publication/store_revision.h"

namespace burdockwheel::publication {

// Read a page; PageRead must follow unless ResetSource comes first.
struct ReadPage {
  std::string after;
};

// Wait for changes; ChangesRead must follow unless ResetSource comes first.
struct ReadChanges {
  StoreRevision after_revision;
  std::chrono::milliseconds wait{0};
};

// Give up the read under way, whose answer is not expected any more.
struct ResetSource {};

// The item is new or has changed.
struct ItemChanged {
  PublishedItem item;
};

// The item is no longer published.
struct ItemGone {
  std::string name;
  // The platform's revision of the removal, or of the listing that lacked it.
  StoreRevision revision;
};

// A listing is complete: what was not told is not published.
struct ListingComplete {
  StoreRevision revision;
};

// The platform has come back from an older copy: items that were published may
// be missing until they are written again. Comes before the changes that tell
// of it.
struct SourceRestored {
  StoreRevision revision;  // the first of the new era that is known
};

// Pass on what was read to the hosts of the own failure domain. It may be lost.
struct TellUpdate {
  PublicationUpdate update;
};

// Tell peers that this host reads the platform, and how far; peers of other
// failure domains too if it is wide.
struct TellBeacon {
  ReaderBeacon beacon;
  bool is_wide = false;
};

// No host is known to have been answered by the platform for longer than its
// answers are apart, so that this host asks.
struct AnswerOverdue {
  std::chrono::milliseconds age{0};  // of the last answer
  std::size_t rank = 0;              // of this host among those that may read
};

// Neither this host nor a peer is answered by the platform as it should.
struct SourceLost {
  ReadFailure failure = ReadFailure::kUnreachable;
};

// The platform answers again.
struct SourceRegained {
  std::chrono::milliseconds outage{0};
  int failed_reads = 0;
};

// Hand in TimerFired at this time. The newest WakeAt counts.
struct WakeAt {
  kernel::Instant time;
};

using ReaderAction =
    std::variant<ReadPage, ReadChanges, ResetSource, ItemChanged, ItemGone,
                 ListingComplete, TellUpdate, TellBeacon, AnswerOverdue,
                 SourceLost, SourceRegained, SourceRestored, WakeAt>;

// The actions of one event, in the order in which they are to be done.
using ReaderActions = std::vector<ReaderAction>;

}  // namespace burdockwheel::publication
