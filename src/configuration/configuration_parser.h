// Reads the operators' short files and the document that is published of them.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <string>
#include <string_view>

#include "configuration/configuration_fault.h"
#include "kernel/result.h"
#include "model/fleet_configuration.h"
#include "model/service_definition.h"

namespace burdockwheel::configuration {

// What operators publish: as much as the platform's values hold.
constexpr std::size_t kMostPublishedBytes = std::size_t{1} << 20U;
// What hosts accept. A value in another form may be longer in this one, which
// names the host of each route: the shortest route there has 126 bytes, and 172
// bytes and a host name of up to 253 here.
constexpr std::size_t kMostDocumentBytes = 4 * kMostPublishedBytes;
constexpr std::size_t kMostServiceFileBytes = 64'000;
// More of the shortest services than fit into a value.
constexpr int kMostServices = 16'000;
constexpr int kMostKindsOfService = 64;
constexpr int kMostEntryHosts = 4000;
// Of a route's attempts, its rank and the connections of a worker.
constexpr int kMostCount = std::numeric_limits<int>::max();
// Longer than any process lives, and far from where nanoseconds overflow.
constexpr std::chrono::milliseconds kLongestTime = std::chrono::hours(87'600);
// Of a route's prefix or the path of a health probe. A request for a longer one
// would hardly fit into a header.
constexpr std::size_t kMostPathBytes = 65'535;
// What hosts hold of a request's header. Beyond it they would need a budget of
// memory for headers as they have one for bodies.
constexpr std::int64_t kMostHeaderBytes = std::int64_t{1} << 20U;
constexpr double kMostTargetWeight = 1e15;
constexpr double kMostWarmUpCalls = 1e9;  // a second
// More of the shortest routes than fit into a value.
constexpr int kMostPrefixRoutes = 10'000;

// Checks that go beyond the document. Hosts accept a publication without any,
// so that their verdicts do not depend on the program that each one runs.
struct ParserChecks {
  std::size_t most_document_bytes = kMostDocumentBytes;
  // If set, a routing policy for which it returns false is a fault.
  std::function<bool(const std::string&)> is_policy_known;
  // A service that prefix routes lead to need not name calls of its own; its
  // operators' short file must.
  bool may_lack_calls = false;
};

// Reads one short file. `file` names it in faults. Collects every fault.
kernel::Result<model::ServiceDefinition, ConfigurationFaults>
ParseServiceDefinition(std::string_view text, std::string_view file = {},
                       const ParserChecks& checks = {});

// Reads a published document; services come out in the order of their names. A
// pure function of the text: every host comes to the same verdict.
kernel::Result<model::FleetConfiguration, ConfigurationFaults>
ParseFleetConfiguration(std::string_view text, std::string_view file = {},
                        const ParserChecks& checks = {});

}  // namespace burdockwheel::configuration
