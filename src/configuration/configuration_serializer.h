// Writes configurations as the one text that stands for their content.
#pragma once

#include <cstdint>
#include <string>

#include "model/fleet_configuration.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

// Returns the service as JSON in one line, every member written out. Equal
// services give equal text.
std::string SerializeService(const model::ServiceDefinition& service);

// Returns the document, with one line for each service, in the order of the
// services' names.
std::string SerializeFleetConfiguration(
    const model::FleetConfiguration& configuration);

// Returns a digest (XXH3, 64 bits) of the content including the version. It
// tells publications apart; it gives no protection against forgery.
std::uint64_t DigestFleetConfiguration(
    const model::FleetConfiguration& configuration);

}  // namespace burdockwheel::configuration
