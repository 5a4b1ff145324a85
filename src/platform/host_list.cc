#include "platform/host_list.h"

#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace burdockwheel::platform {

namespace {

using nlohmann::json;

std::optional<std::string> StringOrNull(const json& object, const char* name) {
  if (!object.is_object()) return std::nullopt;
  const auto found = object.find(name);
  if (found == object.end() || !found->is_string()) return std::nullopt;
  return found->get<std::string>();
}

std::optional<bool> IsLeavingOrNull(const json& object) {
  const auto state = StringOrNull(object, "state");
  if (state == "live") return false;
  if (state == "leaving") return true;
  return std::nullopt;
}

std::optional<model::WorkerRecord> WorkerOrNull(const json& object) {
  const auto address = StringOrNull(object, "address");
  const auto service = StringOrNull(object, "service");
  const auto domain = StringOrNull(object, "failure_domain");
  const auto is_leaving = IsLeavingOrNull(object);
  if (!address || !service || !domain || !is_leaving) return std::nullopt;
  model::WorkerRecord record;
  record.address.value = *address;
  record.service.value = *service;
  record.failure_domain.value = *domain;
  record.state =
      *is_leaving ? model::WorkerState::kLeaving : model::WorkerState::kLive;
  return record;
}

std::optional<EntryHostRecord> EntryHostOrNull(const json& object) {
  const auto id = StringOrNull(object, "id");
  const auto address = StringOrNull(object, "peer_address");
  const auto domain = StringOrNull(object, "failure_domain");
  const auto is_leaving = IsLeavingOrNull(object);
  if (!id || !address || !domain || !is_leaving) return std::nullopt;
  return EntryHostRecord{{*id}, *address, {*domain}, *is_leaving};
}

}  // namespace

kernel::Result<HostList, HostListFailure> ParseHostList(std::string_view text) {
  const auto document = json::parse(text, nullptr, false);
  if (!document.is_object()) return HostListFailure::kNotJson;
  const auto generation = document.find("generation");
  const auto workers = document.find("workers");
  const auto entry_hosts = document.find("entry_hosts");
  if (generation == document.end() || workers == document.end() ||
      entry_hosts == document.end()) {
    return HostListFailure::kMemberMissing;
  }
  if (!generation->is_number_unsigned() || !workers->is_array() ||
      !entry_hosts->is_array()) {
    return HostListFailure::kMemberMalformed;
  }
  HostList list;
  list.generation = generation->get<std::uint64_t>();
  for (const auto& object : *workers) {
    auto record = WorkerOrNull(object);
    if (!record) return HostListFailure::kMemberMalformed;
    list.workers.push_back(std::move(*record));
  }
  for (const auto& object : *entry_hosts) {
    auto record = EntryHostOrNull(object);
    if (!record) return HostListFailure::kMemberMalformed;
    list.entry_hosts.push_back(std::move(*record));
  }
  return list;
}

}  // namespace burdockwheel::platform
