// Finds services that cannot be in force beside one another.
#pragma once

#include <cstddef>
#include <functional>
#include <string>
#include <vector>

#include "configuration/configuration_fault.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

// Says where the member of a service stands: returns a fault with its place
// filled in. `member` is a JSON pointer inside the service.
using PlaceOfMember = std::function<ConfigurationFault(
    std::size_t service_index, const std::string& member)>;

// Appends a fault for each service whose name another has, each kind of call
// whose method and path another claims, and each service whose connections do
// not suffice for one on each of `most_entry_hosts`.
void CheckConflicts(const std::vector<model::ServiceDefinition>& services,
                    int most_entry_hosts, const PlaceOfMember& place_of,
                    ConfigurationFaults& faults);

}  // namespace burdockwheel::configuration
