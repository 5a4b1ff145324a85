// Reads the JSON object of one service.
#pragma once

#include "configuration/configuration_parser.h"
#include "configuration/object_reader.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

// Reads a service; faults go to the reader's list. A service that is reached by
// prefix routes alone names no calls, where `calls` is optional.
model::ServiceDefinition ReadService(ObjectReader& reader,
                                     const ParserChecks& checks,
                                     Presence calls);

}  // namespace burdockwheel::configuration
