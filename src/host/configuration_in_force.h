// The accepted configuration in the form that serving uses.
#pragma once

#include <memory>
#include <utility>

#include "configuration/route_table.h"
#include "model/fleet_configuration.h"

namespace burdockwheel::host {

struct ConfigurationInForce {
  explicit ConfigurationInForce(
      std::shared_ptr<const model::FleetConfiguration> configuration)
      : configuration(std::move(configuration)), routes(*this->configuration) {}

  std::shared_ptr<const model::FleetConfiguration> configuration;
  configuration::RouteTable routes;
};

}  // namespace burdockwheel::host
