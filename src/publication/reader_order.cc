#include "publication/reader_order.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <set>
#include <string>
#include <utility>

namespace burdockwheel::publication {

namespace {

// Tells this order from others by the same hashing, so that one host does not
// get every duty.
constexpr std::uint64_t kSalt = 0x70756231;

std::uint64_t WeightOf(model::Incarnation host) {
  return XXH3_64bits_withSeed(&host.value, sizeof(host.value), kSalt);
}

}  // namespace

ReaderOrder::ReaderOrder(model::Incarnation self, model::FailureDomain domain)
    : self(self), domain(std::move(domain)) {}

void ReaderOrder::SetPeers(const std::vector<ReadingPeer>& peers) {
  std::set<std::string> domains = {this->domain.value};
  this->rank = 0;
  this->near_peers = 0;
  for (const auto& peer : peers) {
    domains.insert(peer.failure_domain.value);
    if (peer.failure_domain == this->domain) ++this->near_peers;
    if (this->IsBefore(peer.incarnation, peer.failure_domain)) ++this->rank;
  }
  this->domain_count = domains.size();
}

bool ReaderOrder::IsBefore(model::Incarnation other,
                           const model::FailureDomain& other_domain) const {
  return other_domain == this->domain && WeightOf(other) > WeightOf(this->self);
}

}  // namespace burdockwheel::publication
