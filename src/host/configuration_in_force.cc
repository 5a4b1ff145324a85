#include "host/configuration_in_force.h"

#include <cstddef>
#include <string_view>
#include <unordered_map>
#include <utility>

namespace burdockwheel::host {

namespace {

std::shared_ptr<const model::FleetConfiguration> WithRouteKinds(
    const model::FleetConfiguration& published,
    std::vector<std::vector<ResolvedTarget>>& prefix_targets) {
  auto extended = std::make_shared<model::FleetConfiguration>(published);
  std::unordered_map<std::string_view, std::size_t> service_indexes;
  for (std::size_t index = 0; index < published.services.size(); ++index)
    service_indexes.emplace(published.services[index].name.value, index);
  for (const auto& route : published.prefix_routes) {
    auto& targets = prefix_targets.emplace_back();
    for (const auto& target : route.targets) {
      const auto found = service_indexes.find(target.service.value);
      if (found == service_indexes.end()) continue;
      auto& kinds = extended->services[found->second].kinds;
      kinds.push_back(route.kind);
      targets.push_back({{found->second, kinds.size() - 1}, target.weight});
    }
  }
  return extended;
}

}  // namespace

ConfigurationInForce::ConfigurationInForce(
    const std::shared_ptr<const model::FleetConfiguration>& published)
    : routes(*published), prefix_routes(published->prefix_routes) {
  this->configuration = WithRouteKinds(*published, this->prefix_targets);
}

}  // namespace burdockwheel::host
