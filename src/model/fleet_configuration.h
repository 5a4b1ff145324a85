// The configuration that the platform publishes for a deployment.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "model/caller_limits.h"
#include "model/prefix_route.h"
#include "model/service_definition.h"

namespace burdockwheel::model {

struct FleetConfiguration {
  // Rises with each publication; set by the publishing step.
  std::uint64_t version = 0;
  // The most entry hosts that may run at the same time; a worker's limits are
  // divided by it.
  int most_entry_hosts = 25;
  CallerLimits caller_limits;
  std::vector<ServiceDefinition> services;
  // Routes beside those that the kinds of the services name themselves.
  std::vector<PrefixRoute> prefix_routes;
};

}  // namespace burdockwheel::model
