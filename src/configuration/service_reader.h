// Reads the JSON object of one service.
#pragma once

#include "configuration/configuration_parser.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

class ObjectReader;

// Reads a service; faults go to the reader's list.
model::ServiceDefinition ReadService(ObjectReader& reader,
                                     const ParserChecks& checks);

}  // namespace burdockwheel::configuration
