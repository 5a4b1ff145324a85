#include "configuration/configuration_serializer.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <vector>

#include "configuration/configuration_parser.h"

namespace burdockwheel::configuration {

namespace {

using Json = nlohmann::ordered_json;

Json KindAsJson(const model::CallKind& kind) {
  Json json;
  json["name"] = kind.name;
  json["method"] = kind.method;
  json["path"] = kind.path_pattern;
  json["idempotent"] = kind.is_idempotent;
  json["weight"] = kind.weight;
  json["deadline_ms"] = kind.deadline.count();
  json["attempts"] = kind.most_attempts;
  json["hedge_after_ms"] = kind.hedge_after.count();
  if (!kind.is_idempotent)
    json["key"] = kind.is_key_required ? "required" : "optional";
  return json;
}

// Returns a JSON string (RFC 8259, section 7).
std::string Quoted(const std::string& text) {
  const bool is_plain = std::ranges::all_of(text, [](char character) {
    return character >= ' ' && character < 0x7F && character != '"' &&
           character != '\\';
  });
  return is_plain ? '"' + text + '"' : Json(text).dump();
}

// Written member by member, without a tree: a document has thousands of routes,
// and each host writes them for the digest of every configuration.
void AppendRoute(const model::PrefixRoute& route, std::string& text) {
  text += R"({"name":)" + Quoted(route.kind.name);
  text += R"(,"host":)" + Quoted(route.host);
  text += R"(,"prefix":)" + Quoted(route.prefix);
  text += R"(,"idempotent":)";
  text += route.kind.is_idempotent ? "true" : "false";
  text += R"(,"deadline_ms":)" + std::to_string(route.kind.deadline.count());
  text += R"(,"objective_ms":)" + std::to_string(route.kind.objective.count());
  text += R"(,"priority":)" + std::to_string(route.kind.priority);
  text += R"(,"weight":)" + std::to_string(route.kind.weight);
  text += R"(,"attempts":)" + std::to_string(route.kind.most_attempts);
  const char* separator = R"(,"targets":[)";
  for (const auto& target : route.targets) {
    text += separator;
    text += R"({"service":)" + Quoted(target.service.value);
    text += R"(,"weight":)" + SerializeNumber(target.weight) + "}";
    separator = ",";
  }
  text += route.targets.empty() ? "}" : "]}";
}

}  // namespace

std::string SerializeNumber(double number) {
  const bool is_integer =
      std::abs(number) <= kMostTargetWeight && std::trunc(number) == number;
  if (is_integer) return std::to_string(static_cast<std::int64_t>(number));
  return Json(number).dump();
}

std::string SerializeCallerLimits(const model::CallerLimits& limits) {
  Json json;
  json["header_bytes"] = limits.most_header_bytes;
  json["body_bytes"] = limits.most_body_bytes;
  json["header_timeout_ms"] = limits.header_timeout.count();
  json["idle_timeout_ms"] = limits.idle_timeout.count();
  return json.dump();
}

std::string SerializePrefixRoutes(
    const std::vector<model::PrefixRoute>& routes) {
  std::string text = "[";
  const char* separator = "\n";
  for (const auto& route : routes) {
    text += separator;
    AppendRoute(route, text);
    separator = ",\n";
  }
  text += "\n]";
  return text;
}

std::string SerializeService(const model::ServiceDefinition& service) {
  Json json;
  json["service"] = service.name.value;
  json["worker"]["slots"] = service.worker_slots;
  json["worker"]["connections"] = service.worker_connections;
  if (!service.health_path.empty())
    json["worker"]["health_path"] = service.health_path;
  if (!(service.warm_up == model::WarmUpPolicy())) {
    json["worker"]["warm_up_calls_per_s"] = service.warm_up.calls_per_second;
    json["worker"]["warm_up_ms"] = service.warm_up.duration.count();
  }
  if (!service.routing_policy.empty())
    json["routing"]["policy"] = service.routing_policy;
  json["routing"]["prefer_own_failure_domain"] =
      service.locality.is_local_preferred;
  json["routing"]["crossing_cost_us"] = service.locality.crossing_cost.count();
  if (service.locality.crossing_price > 0)
    json["routing"]["crossing_price"] = service.locality.crossing_price;
  if (service.connection_price > 0)
    json["routing"]["connection_price"] = service.connection_price;
  json["queue"]["most_calls"] = service.queue.most_calls;
  json["queue"]["most_wait_ms"] = service.queue.most_wait.count();
  json["retry"]["share"] = service.retry_share;
  for (const auto& kind : service.kinds)
    json["calls"].push_back(KindAsJson(kind));
  return json.dump();
}

std::string SerializeFleetWideMembers(
    const model::FleetConfiguration& configuration) {
  std::string text;
  if (!(configuration.caller_limits == model::CallerLimits())) {
    text += ",\n\"caller_limits\":" +
            SerializeCallerLimits(configuration.caller_limits);
  }
  if (!configuration.prefix_routes.empty()) {
    text += ",\n\"prefix_routes\":" +
            SerializePrefixRoutes(configuration.prefix_routes);
  }
  return text;
}

std::string SerializeFleetConfiguration(
    const model::FleetConfiguration& configuration) {
  return SerializeWithMembers(configuration,
                              SerializeFleetWideMembers(configuration));
}

std::string SerializeWithMembers(const model::FleetConfiguration& configuration,
                                 std::string_view fleet_wide_members) {
  std::vector<const model::ServiceDefinition*> services;
  services.reserve(configuration.services.size());
  for (const auto& service : configuration.services)
    services.push_back(&service);
  std::ranges::sort(
      services, {},
      [](const auto* service) -> const auto& { return service->name.value; });
  std::string text = "{\"version\":" + std::to_string(configuration.version) +
                     ",\"most_entry_hosts\":" +
                     std::to_string(configuration.most_entry_hosts) +
                     ",\"services\":[";
  const char* separator = "\n";
  for (const auto* service : services) {
    text += separator;
    text += SerializeService(*service);
    separator = ",\n";
  }
  text += "\n]";
  text += fleet_wide_members;
  text += "}\n";
  return text;
}

std::uint64_t DigestFleetConfiguration(
    const model::FleetConfiguration& configuration) {
  const std::string text = SerializeFleetConfiguration(configuration);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace burdockwheel::configuration
