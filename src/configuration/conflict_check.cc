#include "configuration/conflict_check.h"

#include <map>
#include <unordered_map>
#include <utility>

#include "configuration/path_pattern.h"

namespace burdockwheel::configuration {

namespace {

struct Claim {
  std::size_t service_index = 0;
  std::size_t kind_index = 0;
};

void AddFault(ConfigurationFault fault, FaultReason reason,
              std::string expected, ConfigurationFaults& faults) {
  fault.reason = reason;
  fault.expected = std::move(expected);
  faults.push_back(std::move(fault));
}

void CheckNames(const std::vector<model::ServiceDefinition>& services,
                const PlaceOfMember& place_of, ConfigurationFaults& faults) {
  std::unordered_map<std::string, std::size_t> first_by_name;
  for (std::size_t index = 0; index < services.size(); ++index) {
    const std::string& name = services[index].name.value;
    if (name.empty()) continue;
    const auto [found, is_new] = first_by_name.emplace(name, index);
    if (is_new) continue;
    const auto first = place_of(found->second, "/service");
    AddFault(place_of(index, "/service"), FaultReason::kDuplicateName,
             "a name other than that at " + first.file + ":" +
                 std::to_string(first.line),
             faults);
  }
}

void CheckRoutes(const std::vector<model::ServiceDefinition>& services,
                 const PlaceOfMember& place_of, ConfigurationFaults& faults) {
  const auto place_of_path = [&place_of](const Claim& claim) {
    return place_of(claim.service_index,
                    "/calls/" + std::to_string(claim.kind_index) + "/path");
  };
  std::map<std::pair<std::string, std::string>, Claim> claims;
  for (std::size_t index = 0; index < services.size(); ++index) {
    const auto& kinds = services[index].kinds;
    for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
      if (!IsPathPattern(kinds[kind].path_pattern)) continue;
      const Claim claim{index, kind};
      const auto [found, is_new] = claims.emplace(
          std::pair(kinds[kind].method, PatternShape(kinds[kind].path_pattern)),
          claim);
      if (is_new) continue;
      const auto first = place_of_path(found->second);
      AddFault(place_of_path(claim), FaultReason::kConflictingRoute,
               "a method and path that " + first.file + ":" +
                   std::to_string(first.line) + " " + first.pointer +
                   " does not claim",
               faults);
    }
  }
}

}  // namespace

void CheckConflicts(const std::vector<model::ServiceDefinition>& services,
                    int most_entry_hosts, const PlaceOfMember& place_of,
                    ConfigurationFaults& faults) {
  CheckNames(services, place_of, faults);
  CheckRoutes(services, place_of, faults);
  for (std::size_t index = 0; index < services.size(); ++index) {
    if (services[index].worker_connections >= most_entry_hosts) continue;
    AddFault(place_of(index, "/worker/connections"), FaultReason::kOutOfRange,
             "at least most_entry_hosts, " + std::to_string(most_entry_hosts) +
                 ", so that each host has a connection",
             faults);
  }
}

}  // namespace burdockwheel::configuration
