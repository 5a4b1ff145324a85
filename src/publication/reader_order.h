// The order in which the hosts of a failure domain read the platform.
#pragma once

#include <cstddef>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::publication {

// Another host that is alive.
struct ReadingPeer {
  model::Incarnation incarnation;
  model::FailureDomain failure_domain;
};

// Rendezvous hashing (Thaler, Ravishankar 1998) of the hosts of one domain, so
// that hosts that know of one another come to the same order by themselves.
// Pure.
class ReaderOrder {
 public:
  ReaderOrder(model::Incarnation self, model::FailureDomain domain);

  void SetPeers(const std::vector<ReadingPeer>& peers);

  // Hosts of the own domain before this one.
  std::size_t Rank() const { return this->rank; }

  // Other hosts of the own domain.
  std::size_t NearPeers() const { return this->near_peers; }

  // Failure domains with a host that is alive, the own one included.
  std::size_t DomainCount() const { return this->domain_count; }

  // Tells whether the host is of the own domain and goes before this one.
  bool IsBefore(model::Incarnation other,
                const model::FailureDomain& domain) const;

 private:
  model::Incarnation self;
  model::FailureDomain domain;
  std::size_t rank = 0;
  std::size_t near_peers = 0;
  std::size_t domain_count = 1;
};

}  // namespace burdockwheel::publication
