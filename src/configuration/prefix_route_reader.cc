#include "configuration/prefix_route_reader.h"

#include <algorithm>
#include <limits>
#include <set>
#include <string>
#include <string_view>
#include <unordered_set>
#include <utility>

#include "configuration/configuration_parser.h"
#include "configuration/object_reader.h"

namespace burdockwheel::configuration {

namespace {

constexpr std::size_t kMostHostNameBytes = 253;  // RFC 1035, section 2.3.4
constexpr Range kTargetsRange{1, kMostServices};
constexpr Range kDurationRange{1, kLongestTime.count()};  // milliseconds
constexpr Range kObjectiveRange{0, kLongestTime.count()};
constexpr Range kPriorityRange{0, kMostCount};
constexpr Range kCallWeightRange{1, 1000};
constexpr Range kRouteAttemptsRange{1, kMostCount};
constexpr Range kHeaderBytesRange{1, kMostHeaderBytes};
// Hosts bound bodies by their own memory.
constexpr Range kBodyBytesRange{0, std::numeric_limits<std::int64_t>::max()};

const StringForm& HostForm() {
  static const StringForm kForm{
      [](std::string_view text) {
        return !text.empty() && text.size() <= kMostHostNameBytes &&
               std::ranges::all_of(text, [](char character) {
                 return (character >= 'a' && character <= 'z') ||
                        (character >= '0' && character <= '9') ||
                        character == '-' || character == '.' ||
                        character == '_';
               });
      },
      "a host name in lower case, without a port"};
  return kForm;
}

const StringForm& PrefixForm() {
  static const StringForm kForm{
      [](std::string_view text) {
        return text.starts_with('/') && text.ends_with('/') &&
               text.size() <= kMostPathBytes &&
               std::ranges::all_of(text, [](char character) {
                 return character > ' ' && character < 0x7F &&
                        character != '?' && character != '#';
               });
      },
      "a path that begins and ends with a slash"};
  return kForm;
}

using ServiceNames = std::unordered_set<std::string_view>;

model::RouteTarget ReadTarget(ObjectReader& reader,
                              const ServiceNames& services) {
  model::RouteTarget target;
  reader.ReadString("service", LongNameForm(), target.service.value,
                    Presence::kRequired);
  reader.ReadNumber("weight", 0, kMostTargetWeight, target.weight);
  reader.Finish();
  const std::string& service = target.service.value;
  if (!service.empty() && !services.contains(service)) {
    reader.AddFault(FaultReason::kUnknownName, "service",
                    "the name of a service in the document");
  }
  return target;
}

model::PrefixRoute ReadRoute(ObjectReader& reader,
                             const ServiceNames& services) {
  model::PrefixRoute route;
  reader.ReadString("name", LongNameForm(), route.kind.name,
                    Presence::kRequired);
  reader.ReadString("host", HostForm(), route.host, Presence::kRequired);
  reader.ReadString("prefix", PrefixForm(), route.prefix, Presence::kRequired);
  reader.ReadBoolean("idempotent", route.kind.is_idempotent,
                     Presence::kRequired);
  route.kind.is_key_required = false;
  reader.ReadDuration("deadline_ms", kDurationRange, route.kind.deadline);
  reader.ReadDuration("objective_ms", kObjectiveRange, route.kind.objective);
  reader.ReadInteger("priority", kPriorityRange, route.kind.priority);
  reader.ReadInteger("weight", kCallWeightRange, route.kind.weight);
  reader.ReadInteger("attempts", kRouteAttemptsRange, route.kind.most_attempts);
  std::set<std::string> names;
  double weight = 0;
  auto targets =
      reader.ReadObjects("targets", kTargetsRange, Presence::kRequired);
  for (auto& target : targets) {
    route.targets.push_back(ReadTarget(target, services));
    weight += route.targets.back().weight;
    if (names.insert(route.targets.back().service.value).second) continue;
    target.AddFault(FaultReason::kDuplicateName, "service",
                    "a service of its own");
  }
  if (!targets.empty() && weight == 0) {
    reader.AddFault(FaultReason::kOutOfRange, "targets",
                    "a target with a weight above zero");
  }
  reader.Finish();
  return route;
}

}  // namespace

std::vector<model::PrefixRoute> ReadPrefixRoutes(
    ObjectReader& document,
    const std::vector<model::ServiceDefinition>& services) {
  ServiceNames service_names;
  for (const auto& service : services) service_names.insert(service.name.value);
  std::vector<model::PrefixRoute> routes;
  std::set<std::string> names;
  std::set<std::pair<std::string, std::string>> places;
  for (auto& reader :
       document.ReadObjects("prefix_routes", {0, kMostPrefixRoutes})) {
    auto route = ReadRoute(reader, service_names);
    if (!names.insert(route.kind.name).second && !route.kind.name.empty())
      reader.AddFault(FaultReason::kDuplicateName, "name", "a name of its own");
    if (!places.emplace(route.host, route.prefix).second &&
        !route.prefix.empty()) {
      reader.AddFault(FaultReason::kConflictingRoute, "prefix",
                      "a host and prefix that no other route claims");
    }
    routes.push_back(std::move(route));
  }
  return routes;
}

model::CallerLimits ReadCallerLimits(ObjectReader& document) {
  model::CallerLimits limits;
  auto reader = document.TryReadObject("caller_limits");
  if (!reader) return limits;
  reader->ReadInteger64("header_bytes", kHeaderBytesRange,
                        limits.most_header_bytes);
  reader->ReadInteger64("body_bytes", kBodyBytesRange, limits.most_body_bytes);
  reader->ReadDuration("header_timeout_ms", kDurationRange,
                       limits.header_timeout);
  reader->ReadDuration("idle_timeout_ms", kDurationRange, limits.idle_timeout);
  reader->Finish();
  return limits;
}

}  // namespace burdockwheel::configuration
