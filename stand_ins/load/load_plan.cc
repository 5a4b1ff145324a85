#include "stand_ins/load/load_plan.h"

#include <nlohmann/json.hpp>

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;

LoadKind ParseKind(const Json& json) {
  LoadKind kind;
  json.at("name").get_to(kind.name);
  kind.share = json.value("share", kind.share);
  kind.method = json.value("method", kind.method);
  kind.path = json.value("path", kind.path);
  kind.service = json.value("service", kind.service);
  kind.request_bytes = json.value("request_bytes", kind.request_bytes);
  kind.answer_bytes = json.value("answer_bytes", kind.answer_bytes);
  kind.is_chunked = json.value("chunked", kind.is_chunked);
  kind.is_keyed = json.value("keyed", kind.is_keyed);
  kind.is_resent = json.value("resend", kind.is_resent);
  kind.most_sends = json.value("most_sends", kind.most_sends);
  kind.timeout =
      std::chrono::milliseconds(json.value("timeout_ms", kind.timeout.count()));
  kind.fields = json.value("fields", kind.fields);
  return kind;
}

LoadPlan ParsePlan(const Json& json, LoadMode mode) {
  LoadPlan plan;
  plan.mode = mode;
  plan.seed = json.value("seed", plan.seed);
  plan.rate = json.value("rate", plan.rate);
  plan.length =
      std::chrono::milliseconds(json.value("length_ms", plan.length.count()));
  plan.warm_up =
      std::chrono::milliseconds(json.value("warm_up_ms", plan.warm_up.count()));
  plan.threads = json.value("threads", plan.threads);
  plan.connections_per_target =
      json.value("connections_per_target", plan.connections_per_target);
  plan.callers = json.value("callers", plan.callers);
  plan.entry_hosts = json.value("entry_hosts", plan.entry_hosts);
  for (const Json& worker : json.value("workers", Json::array())) {
    plan.workers.push_back({worker.at("address").get<std::string>(),
                            worker.value("service", std::string())});
  }
  for (const Json& kind : json.at("kinds"))
    plan.kinds.push_back(ParseKind(kind));
  return plan;
}

}  // namespace

kernel::Result<LoadPlan, LoadPlanFailure> TryParseLoadPlan(
    std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object()) return LoadPlanFailure::kNotJson;
  static const std::map<std::string, LoadMode> kModes = {
      {"entry-hosts", LoadMode::kEntryHosts},
      {"direct", LoadMode::kDirect},
      {"direct-oracle", LoadMode::kDirectOracle},
  };
  try {
    const auto mode =
        kModes.find(document.value("mode", std::string("entry-hosts")));
    if (mode == kModes.end()) return LoadPlanFailure::kBadMode;
    LoadPlan plan = ParsePlan(document, mode->second);
    const bool has_target = plan.mode == LoadMode::kEntryHosts
                                ? !plan.entry_hosts.empty()
                                : !plan.workers.empty();
    if (!has_target || plan.kinds.empty()) return LoadPlanFailure::kNoTarget;
    return plan;
  } catch (const Json::exception&) {
    return LoadPlanFailure::kMissingMember;
  }
}

}  // namespace burdockwheel::stand_ins
