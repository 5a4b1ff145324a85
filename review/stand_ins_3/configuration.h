// The operators' configuration as PROTOCOL.md writes it.
#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace review {

struct RouteText {
  std::string name;
  std::string host;
  std::string prefix;
  std::string kind = "idempotent";
  std::string service;
};

struct ConfigurationText {
  int version = 1;
  std::int64_t idle_timeout_ms = 15'000;
  std::vector<RouteText> routes;
  std::vector<std::string> services;

  std::string Json() const;
};

}  // namespace review
