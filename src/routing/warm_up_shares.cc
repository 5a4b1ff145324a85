#include "routing/warm_up_shares.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace burdockwheel::routing {

namespace {

std::uint64_t WeightOf(const std::string& address, std::uint64_t seed) {
  return XXH3_64bits_withSeed(address.data(), address.size(), seed);
}

}  // namespace

void WarmUpShares::SetHosts(kernel::Instant now,
                            std::vector<model::KnownHost> others) {
  std::erase_if(others, [this](const auto& host) {
    return host.address == this->self.address;
  });
  if (!others.empty() && !this->settled_at)
    this->settled_at = now + kSettlingTime;
  this->others = std::move(others);
  this->version += 1;
}

int WarmUpShares::ShareOf(const model::WorkerId& worker,
                          const model::FailureDomain& worker_domain,
                          int max_calls) const {
  const int divided = max_calls / kReserveDivisor;
  const int foreign = divided / kForeignDivisor;
  const bool is_near = this->self.failure_domain == worker_domain;
  const int calls = is_near ? divided - foreign : foreign;
  const auto seed = XXH3_64bits(worker.value.data(), worker.value.size());
  const auto own_weight = WeightOf(this->self.address, seed);
  int hosts = 1;
  int rank = 0;
  for (const auto& host : this->others) {
    if ((host.failure_domain == worker_domain) != is_near) continue;
    ++hosts;
    if (WeightOf(host.address, seed) > own_weight) ++rank;
  }
  const int chosen = std::min(calls, hosts);
  if (rank >= chosen) return 0;
  const int rest = calls % chosen;
  return calls / chosen + (rank < rest ? 1 : 0);
}

}  // namespace burdockwheel::routing
