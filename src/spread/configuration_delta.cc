#include "spread/configuration_delta.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <map>
#include <set>

#include "configuration/configuration_parser.h"
#include "configuration/configuration_serializer.h"
#include "peer/msgpack_codec.h"

namespace burdockwheel::spread {

namespace {

struct WireDelta {
  std::uint64_t version = 0;
  int most_entry_hosts = 0;
  std::vector<std::uint64_t> removed;  // digests of names
  std::vector<std::string> changed;    // definitions as JSON
  bool has_fleet_wide = false;         // what follows replaces the base's
  std::string fleet_wide;

  MSGPACK_DEFINE(version, most_entry_hosts, removed, changed, has_fleet_wide,
                 fleet_wide)
};

std::uint64_t Digest(std::string_view text) {
  return XXH3_64bits(text.data(), text.size());
}

// Returns the content's digest of this name, or nothing.
std::optional<std::uint64_t> ContentOf(const ConfigurationDigests& digests,
                                       std::uint64_t name) {
  const auto found = std::ranges::lower_bound(digests.services, name, {},
                                              &ServiceDigest::name);
  if (found == digests.services.end() || found->name != name)
    return std::nullopt;
  return found->content;
}

}  // namespace

ConfigurationDigests DigestsOf(const model::FleetConfiguration& configuration) {
  ConfigurationDigests digests;
  digests.services.reserve(configuration.services.size());
  for (const auto& service : configuration.services) {
    digests.services.push_back(
        {Digest(service.name.value),
         Digest(configuration::SerializeService(service))});
  }
  std::ranges::sort(digests.services, {}, &ServiceDigest::name);
  digests.fleet_wide =
      Digest(configuration::SerializeFleetWideMembers(configuration));
  return digests;
}

std::string EncodeDelta(const ConfigurationDigests& base,
                        const model::FleetConfiguration& configuration) {
  WireDelta wire;
  wire.version = configuration.version;
  wire.most_entry_hosts = configuration.most_entry_hosts;
  std::set<std::uint64_t> names;
  for (const auto& service : configuration.services) {
    const auto name = Digest(service.name.value);
    names.insert(name);
    auto text = configuration::SerializeService(service);
    if (ContentOf(base, name) == Digest(text)) continue;
    wire.changed.push_back(std::move(text));
  }
  for (const auto& service : base.services) {
    if (!names.contains(service.name)) wire.removed.push_back(service.name);
  }
  auto fleet_wide = configuration::SerializeFleetWideMembers(configuration);
  wire.has_fleet_wide = base.fleet_wide != Digest(fleet_wide);
  if (wire.has_fleet_wide) wire.fleet_wide = std::move(fleet_wide);
  return peer::Pack(wire);
}

std::optional<std::string> TryApplyDelta(const model::FleetConfiguration* base,
                                         std::string_view delta) {
  peer::DecodeLimits limits;
  limits.most_elements = configuration::kMostServices;
  limits.most_bytes = configuration::kMostDocumentBytes;
  const auto wire = peer::TryUnpack<WireDelta>(delta, limits);
  if (!wire) return std::nullopt;
  std::map<std::string, model::ServiceDefinition> services;
  if (base != nullptr) {
    const std::set<std::uint64_t> removed(wire->removed.begin(),
                                          wire->removed.end());
    for (const auto& service : base->services) {
      if (removed.contains(Digest(service.name.value))) continue;
      services.emplace(service.name.value, service);
    }
  }
  for (const auto& text : wire->changed) {
    auto service = configuration::ParseServiceDefinition(
        text, {}, {.is_policy_known = nullptr, .may_lack_calls = true});
    if (!service.HasValue()) return std::nullopt;
    const std::string name = service.Value().name.value;
    services.insert_or_assign(name, std::move(service).Value());
  }
  model::FleetConfiguration result;
  result.version = wire->version;
  result.most_entry_hosts = wire->most_entry_hosts;
  for (auto& [name, service] : services)
    result.services.push_back(std::move(service));
  if (wire->has_fleet_wide || base == nullptr)
    return configuration::SerializeWithMembers(result, wire->fleet_wide);
  return configuration::SerializeWithMembers(
      result, configuration::SerializeFleetWideMembers(*base));
}

}  // namespace burdockwheel::spread
