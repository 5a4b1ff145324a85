#include "configuration/configuration_serializer.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <nlohmann/json.hpp>
#include <vector>

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

}  // namespace

std::string SerializeService(const model::ServiceDefinition& service) {
  Json json;
  json["service"] = service.name.value;
  json["worker"]["slots"] = service.worker_slots;
  json["worker"]["connections"] = service.worker_connections;
  if (!service.routing_policy.empty())
    json["routing"]["policy"] = service.routing_policy;
  json["routing"]["prefer_own_failure_domain"] =
      service.locality.is_local_preferred;
  json["routing"]["crossing_cost_us"] = service.locality.crossing_cost.count();
  json["queue"]["most_calls"] = service.queue.most_calls;
  json["queue"]["most_wait_ms"] = service.queue.most_wait.count();
  json["retry"]["share"] = service.retry_share;
  json["calls"] = Json::array();
  for (const auto& kind : service.kinds)
    json["calls"].push_back(KindAsJson(kind));
  return json.dump();
}

std::string SerializeFleetConfiguration(
    const model::FleetConfiguration& configuration) {
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
  text += "\n]}\n";
  return text;
}

std::uint64_t DigestFleetConfiguration(
    const model::FleetConfiguration& configuration) {
  const std::string text = SerializeFleetConfiguration(configuration);
  return XXH3_64bits(text.data(), text.size());
}

}  // namespace burdockwheel::configuration
