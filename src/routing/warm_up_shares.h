// Divides what a cold worker bears among the entry hosts.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "model/known_host.h"

namespace burdockwheel::routing {

// A cold worker bears a few calls a second from all hosts together, and hosts
// share nothing but their lists of one another, which differ. For each worker a
// few hosts are chosen by rendezvous hashing of their addresses, most of them
// in its own failure domain, and each of these may send it a fixed number of
// calls in any second. These numbers add up to a third of what the worker
// bears. A second third is for hosts whose view of the fleet differs, the last
// one for calls that were sent before it was known that the worker is cold.
//
// Addresses are counted that were known before and may be gone: a host that is
// cut off goes on with its share, and one that takes the others for gone must
// not take theirs. A host that has just started knows too few others, and sends
// nothing to cold workers for a while. Pure.
class WarmUpShares {
 public:
  // Every host knows all others this long after a start of the whole fleet,
  // also with a lossy network.
  static constexpr std::chrono::seconds kSettlingTime{5};
  // One in this many of the calls that a worker bears is divided.
  static constexpr int kReserveDivisor = 3;
  // Of the calls that are divided, one in this many goes to hosts of other
  // failure domains than the worker's.
  static constexpr int kForeignDivisor = 4;

  explicit WarmUpShares(model::KnownHost self) : self(std::move(self)) {}

  // Takes the other hosts that are known, gone ones included.
  void SetHosts(kernel::Instant now, std::vector<model::KnownHost> others);

  // Changes whenever shares may have changed.
  std::size_t Version() const { return this->version; }
  // Tells whether this host knows enough others to have a share.
  bool IsSettled(kernel::Instant now) const {
    return this->settled_at && now >= *this->settled_at;
  }

  // Returns how many of `max_calls`, which the worker bears in a second from
  // all hosts, this host may send it.
  int ShareOf(const model::WorkerId& worker,
              const model::FailureDomain& worker_domain, int max_calls) const;

 private:
  model::KnownHost self;
  std::vector<model::KnownHost> others;
  std::optional<kernel::Instant> settled_at;
  std::size_t version = 0;
};

}  // namespace burdockwheel::routing
