#include "host/configuration_in_force.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::host {

namespace {

std::shared_ptr<const model::FleetConfiguration> WithRouteKinds(
    const model::FleetConfiguration& published,
    std::vector<std::vector<ResolvedTarget>>& prefix_targets) {
  auto extended = std::make_shared<model::FleetConfiguration>(published);
  for (const auto& route : published.prefix_routes) {
    auto& targets = prefix_targets.emplace_back();
    for (const auto& target : route.targets) {
      const auto service = std::ranges::find(extended->services, target.service,
                                             &model::ServiceDefinition::name);
      if (service == extended->services.end()) continue;
      service->kinds.push_back(route.kind);
      const auto service_index =
          static_cast<std::size_t>(service - extended->services.begin());
      targets.push_back(
          {{service_index, service->kinds.size() - 1}, target.weight});
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
