// What happens to the reading of the platform: the input of PublicationReader.
#pragma once

#include <cstdint>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "publication/publication_source.h"
#include "publication/publication_update.h"
#include "publication/reader_beacon.h"
#include "publication/reader_order.h"

namespace burdockwheel::publication {

// A time that the reader asked for has come.
struct TimerFired {};

// The answer to ReadPage.
struct PageRead {
  kernel::Result<ListPage, ReadFailure> result;
};

// The answer to ReadChanges.
struct ChangesRead {
  kernel::Result<ChangeBatch, ReadFailure> result;
};

// An answer has begun to arrive that is large and not whole yet.
struct LargeAnswerBegun {};

// A peer reads the platform.
struct BeaconHeard {
  model::Incarnation sender;
  model::FailureDomain failure_domain;
  ReaderBeacon beacon;
};

// A peer passes on what it has read.
struct UpdateHeard {
  PublicationUpdate update;
};

// The other hosts that are alive.
struct PeersListed {
  std::vector<ReadingPeer> peers;
};

// This host did not run for a while; an answer may have been missed.
struct PauseEnded {};

using ReaderEvent =
    std::variant<TimerFired, PageRead, ChangesRead, BeaconHeard, UpdateHeard,
                 PeersListed, PauseEnded, LargeAnswerBegun>;

}  // namespace burdockwheel::publication
