#include "load/relay_rotation.h"

#include <map>

namespace burdockwheel::load {

std::vector<std::string> RelayRotation::Take(
    const std::vector<RelayCandidate>& candidates) {
  std::map<std::string, std::vector<const RelayCandidate*>> by_domain;
  for (const auto& candidate : candidates)
    by_domain[candidate.failure_domain.value].push_back(&candidate);
  const std::size_t turn = this->turn++;
  std::vector<std::string> addresses;
  addresses.reserve(by_domain.size());
  for (const auto& [domain, hosts] : by_domain)
    addresses.push_back(hosts[turn % hosts.size()]->address);
  return addresses;
}

}  // namespace burdockwheel::load
