#include "load/relay_rotation.h"

#include <algorithm>
#include <map>

namespace burdockwheel::load {

std::vector<std::string> RelayRotation::Take(
    const std::vector<RelayCandidate>& candidates, std::size_t count) {
  std::map<std::string, std::vector<const RelayCandidate*>> by_domain;
  for (const auto& candidate : candidates)
    by_domain[candidate.failure_domain.value].push_back(&candidate);
  const std::size_t turn = this->turn;
  this->turn += count;
  std::vector<std::string> addresses;
  for (const auto& [domain, hosts] : by_domain) {
    for (std::size_t each = 0; each < std::min(count, hosts.size()); ++each)
      addresses.push_back(hosts[(turn + each) % hosts.size()]->address);
  }
  return addresses;
}

}  // namespace burdockwheel::load
