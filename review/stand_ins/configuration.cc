#include "review/stand_ins/configuration.h"

#include <array>
#include <cstdio>
#include <map>

namespace review {

namespace {

std::string VersionText(unsigned version) {
  std::array<char, 16> text{};
  std::snprintf(text.data(), text.size(), "%08x", version);
  return text.data();
}

std::string RuleText(const Route& route) {
  return R"({"name":")" + route.name + R"(","kind":")" +
         (route.is_idempotent ? "idempotent" : "non_idempotent") +
         R"(","slo_ms":500,"priority":1,"match":{"prefix":")" + route.prefix +
         R"("},"action":{"service":")" + route.service + R"(","timeout_ms":)" +
         std::to_string(route.timeout_ms) + R"(,"attempts":)" +
         std::to_string(route.attempts) + "}}";
}

}  // namespace

std::string ConfigurationText(unsigned version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& services) {
  std::map<std::string, std::string> policies;
  for (const auto& route : routes) {
    auto& policy = policies[route.host];
    policy += (policy.empty() ? "" : ",") + RuleText(route);
  }
  std::string listeners;
  for (const auto& [host, policy] : policies) {
    if (!listeners.empty()) listeners += ",";
    listeners += R"({"host":")" + host;
    listeners += R"(","policy":[)" + policy;
    listeners += "]}";
  }
  std::string upstreams;
  for (const auto& service : services) {
    upstreams +=
        (upstreams.empty() ? "" : ",") +
        (R"({"name":")" + service +
         R"(","health_path":"/healthz","max_conns":260,"protocol":"h1","tls":false})");
  }
  return R"({"version":")" + VersionText(version) +
         R"(","limits":{"max_header_bytes":16384,"max_body_bytes":67108864,)"
         R"("header_timeout_ms":3000,"idle_timeout_ms":15000},"base_version":")" +
         VersionText(version - 1) + R"(","listeners":[)" + listeners +
         R"(],"upstreams":[)" + upstreams + "]}";
}

}  // namespace review
