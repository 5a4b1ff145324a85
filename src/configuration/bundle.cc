#include "configuration/bundle.h"

#include <algorithm>
#include <utility>

#include "configuration/configuration_serializer.h"
#include "configuration/conflict_check.h"
#include "configuration/located_json.h"

namespace burdockwheel::configuration {

namespace {

// Finds the place of a member; the file is known to be JSON.
ConfigurationFault PlaceIn(const ServiceFile& file, const std::string& member) {
  ConfigurationFaults ignored;
  const auto document = LocatedJson::TryParse(file.text, file.name,
                                              kMostServiceFileBytes, ignored);
  const int line = document ? document->LineOf(member) : 1;
  return {FaultReason::kConflictingRoute, file.name, line, member, ""};
}

}  // namespace

kernel::Result<std::string, ConfigurationFaults> BundleServices(
    const std::vector<ServiceFile>& files, std::uint64_t version,
    int most_entry_hosts, const ParserChecks& checks) {
  ConfigurationFaults faults;
  model::FleetConfiguration configuration;
  configuration.version = version;
  configuration.most_entry_hosts = most_entry_hosts;
  std::vector<const ServiceFile*> sorted;
  sorted.reserve(files.size());
  for (const auto& file : files) sorted.push_back(&file);
  std::ranges::sort(sorted, {}, [](const auto* file) { return file->name; });
  std::vector<const ServiceFile*> parsed;
  for (const auto* file : sorted) {
    auto service = ParseServiceDefinition(file->text, file->name, checks);
    if (!service.HasValue()) {
      faults.insert(faults.end(), service.Failure().begin(),
                    service.Failure().end());
      continue;
    }
    configuration.services.push_back(std::move(service).Value());
    parsed.push_back(file);
  }
  CheckConflicts(
      configuration.services, most_entry_hosts,
      [&parsed](std::size_t service_index, const std::string& member) {
        return PlaceIn(*parsed[service_index], member);
      },
      faults);
  if (!faults.empty()) return faults;
  std::string text = SerializeFleetConfiguration(configuration);
  // What is left to check concerns the whole: its size, version and hosts.
  auto checks_of_whole = checks;
  checks_of_whole.most_document_bytes = kMostPublishedBytes;
  auto document = ParseFleetConfiguration(text, "bundle", checks_of_whole);
  if (!document.HasValue()) return document.Failure();
  return text;
}

}  // namespace burdockwheel::configuration
