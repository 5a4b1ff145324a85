// The accepted configuration in the form that serving uses.
#pragma once

#include <cstddef>
#include <memory>
#include <vector>

#include "configuration/prefix_route_table.h"
#include "configuration/route_table.h"
#include "model/fleet_configuration.h"

namespace burdockwheel::host {

// A service that takes a share of a prefix route's calls, and the kind of call
// that they are there.
struct ResolvedTarget {
  configuration::Route route;
  double weight = 1;
};

struct ConfigurationInForce {
  explicit ConfigurationInForce(
      const std::shared_ptr<const model::FleetConfiguration>& published);

  // As published, but that the calls of each prefix route are kinds of the
  // services that they go to.
  std::shared_ptr<const model::FleetConfiguration> configuration;
  configuration::RouteTable routes;
  configuration::PrefixRouteTable prefix_routes;
  // By the index of the prefix route.
  std::vector<std::vector<ResolvedTarget>> prefix_targets;
};

}  // namespace burdockwheel::host
