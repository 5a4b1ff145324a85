#include "configuration/configuration_parser.h"

#include <algorithm>
#include <limits>
#include <tuple>
#include <utility>

#include "configuration/conflict_check.h"
#include "configuration/located_json.h"
#include "configuration/object_reader.h"
#include "configuration/prefix_route_reader.h"
#include "configuration/service_reader.h"

namespace burdockwheel::configuration {

namespace {

constexpr Range kVersionRange{1, std::numeric_limits<std::int64_t>::max()};

const std::string& NameOf(const model::ServiceDefinition& service) {
  return service.name.value;
}

// Sorts by line and leaves faults of one line in the order found.
void SortByLine(ConfigurationFaults& faults) {
  std::ranges::stable_sort(faults, {}, &ConfigurationFault::line);
}

}  // namespace

kernel::Result<model::ServiceDefinition, ConfigurationFaults>
ParseServiceDefinition(std::string_view text, std::string_view file,
                       const ParserChecks& checks) {
  ConfigurationFaults faults;
  const auto document =
      LocatedJson::TryParse(text, file, kMostServiceFileBytes, faults);
  if (!document) return faults;
  ObjectReader reader(*document, document->Root(), "", faults);
  auto service = ReadService(
      reader, checks,
      checks.may_lack_calls ? Presence::kOptional : Presence::kRequired);
  CheckConflicts(
      {service}, 1,
      [&document](std::size_t /*service_index*/, const std::string& member) {
        return ConfigurationFault{FaultReason::kConflictingRoute,
                                  document->File(), document->LineOf(member),
                                  member, ""};
      },
      faults);
  if (faults.empty()) return service;
  SortByLine(faults);
  return faults;
}

kernel::Result<model::FleetConfiguration, ConfigurationFaults>
ParseFleetConfiguration(std::string_view text, std::string_view file,
                        const ParserChecks& checks) {
  ConfigurationFaults faults;
  const auto document =
      LocatedJson::TryParse(text, file, checks.most_document_bytes, faults);
  if (!document) return faults;
  model::FleetConfiguration configuration;
  ObjectReader reader(*document, document->Root(), "", faults);
  reader.ReadUnsigned("version", kVersionRange, configuration.version,
                      Presence::kRequired);
  reader.ReadInteger("most_entry_hosts", {1, kMostEntryHosts},
                     configuration.most_entry_hosts);
  for (auto& service :
       reader.ReadObjects("services", {0, kMostServices}, Presence::kRequired))
    configuration.services.push_back(
        ReadService(service, checks, Presence::kOptional));
  configuration.caller_limits = ReadCallerLimits(reader);
  configuration.prefix_routes =
      ReadPrefixRoutes(reader, configuration.services);
  reader.Finish();
  CheckConflicts(
      configuration.services, configuration.most_entry_hosts,
      [&document](std::size_t service_index, const std::string& member) {
        std::string pointer =
            "/services/" + std::to_string(service_index) + member;
        const int line = document->LineOf(pointer);
        return ConfigurationFault{FaultReason::kConflictingRoute,
                                  document->File(), line, std::move(pointer),
                                  ""};
      },
      faults);
  if (!faults.empty()) {
    SortByLine(faults);
    return faults;
  }
  std::ranges::sort(configuration.services, {}, NameOf);
  std::ranges::sort(configuration.prefix_routes, {}, [](const auto& route) {
    return std::tie(route.host, route.prefix);
  });
  return configuration;
}

}  // namespace burdockwheel::configuration
