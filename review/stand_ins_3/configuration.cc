#include "review/stand_ins_3/configuration.h"

#include <array>
#include <cstdio>

namespace review {

std::string ConfigurationText::Json() const {
  std::array<char, 16> digits{};
  std::snprintf(digits.data(), digits.size(), "%08x",
                static_cast<unsigned>(this->version));
  std::string json = R"({"version":")" + std::string(digits.data()) +
                     R"(","limits":{"max_header_bytes":16384,)"
                     R"("max_body_bytes":67108864,"header_timeout_ms":3000,)"
                     R"("idle_timeout_ms":)" +
                     std::to_string(this->idle_timeout_ms) +
                     R"(},"listeners":[)";
  const char* separator = "";
  for (const auto& route : this->routes) {
    json += separator;
    separator = ",";
    json += R"({"host":")" + route.host + R"(","policy":[{"name":")" +
            route.name + R"(","kind":")" + route.kind +
            R"(","slo_ms":500,"priority":1,"match":{"prefix":")" +
            route.prefix + R"("},"action":{"service":")" + route.service +
            R"(","timeout_ms":1500,"attempts":2}}]})";
  }
  json += R"(],"upstreams":[)";
  separator = "";
  for (const auto& service : this->services) {
    json += separator;
    separator = ",";
    json += R"({"name":")" + service +
            R"(","health_path":"/healthz","max_conns":260,)"
            R"("protocol":"h1","tls":false})";
  }
  return json + "]}";
}

}  // namespace review
