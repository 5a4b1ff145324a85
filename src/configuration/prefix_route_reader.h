// Reads what a document says of its prefix routes and of callers.
#pragma once

#include <vector>

#include "model/caller_limits.h"
#include "model/prefix_route.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

class ObjectReader;

// Reads the member "prefix_routes" of a document; faults go to the reader's
// list. Every target must be one of `services`.
std::vector<model::PrefixRoute> ReadPrefixRoutes(
    ObjectReader& document,
    const std::vector<model::ServiceDefinition>& services);

// Reads the member "caller_limits" of a document.
model::CallerLimits ReadCallerLimits(ObjectReader& document);

}  // namespace burdockwheel::configuration
