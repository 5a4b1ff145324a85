// Which peers can be asked about a key.
#pragma once

#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "model/identifiers.h"
#include "ownership/ownership_events.h"

namespace burdockwheel::ownership {

// The newest view of the peers. It may be wrong or stale; it says whom to ask
// and never who may run a call.
class PeerDirectory {
 public:
  // Most planned stops that are remembered; the oldest is forgotten first.
  static constexpr std::size_t kMostLeft = 256;

  explicit PeerDirectory(PeerIdentity self);

  void SetAlive(const std::vector<PeerIdentity>& peers);
  void NoteLeft(const PeerLeft& left);

  // Returns the incarnation in which the host is held to be alive.
  std::optional<model::Incarnation> AliveIncarnation(
      const model::HostId& host) const;

  bool HasLeft(const PeerIdentity& peer) const;

  // Returns the peers that are to be given a ledger that this host holds: the
  // first by rendezvous hashing (Thaler and Ravishankar, 1998).
  std::vector<model::HostId> ChooseHolders(const PeerIdentity& issuer,
                                           std::size_t count) const;

  // Returns the peers that may hold the ledger of `issuer`: those that it
  // named, and those that a host with this view would have chosen.
  std::vector<model::HostId> PossibleHolders(const PeerIdentity& issuer,
                                             std::size_t count) const;

 private:
  std::vector<model::HostId> RankedHosts(const PeerIdentity& issuer) const;

  PeerIdentity self;
  std::map<model::HostId, model::Incarnation> alive;
  std::map<PeerIdentity, std::vector<model::HostId>> left;
  std::deque<PeerIdentity> left_in_order;
};

}  // namespace burdockwheel::ownership
