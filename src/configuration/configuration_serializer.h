// Writes configurations as the one text that stands for their content.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet_configuration.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

// Returns the service as JSON in one line, every member written out. Equal
// services give equal text.
std::string SerializeService(const model::ServiceDefinition& service);

// Returns the shortest JSON number that gives this one again (RFC 8259, section
// 6). One without a fraction is written as an integer, which hosts of former
// versions expect.
std::string SerializeNumber(double number);

// Returns the limits as a JSON object, and the routes as a JSON list, as they
// stand in a document.
std::string SerializeCallerLimits(const model::CallerLimits& limits);
std::string SerializePrefixRoutes(
    const std::vector<model::PrefixRoute>& routes);

// Returns the members of the document that belong to no service, as they stand
// behind its services; empty if all have their defaults.
std::string SerializeFleetWideMembers(
    const model::FleetConfiguration& configuration);

// Returns the document of the configuration's services with such members, which
// are not checked, in place of its own.
std::string SerializeWithMembers(const model::FleetConfiguration& configuration,
                                 std::string_view fleet_wide_members);

// Returns the document, with one line for each service, in the order of the
// services' names.
std::string SerializeFleetConfiguration(
    const model::FleetConfiguration& configuration);

// Returns a digest (XXH3, 64 bits) of the content including the version. It
// tells publications apart; it gives no protection against forgery.
std::uint64_t DigestFleetConfiguration(
    const model::FleetConfiguration& configuration);

}  // namespace burdockwheel::configuration
