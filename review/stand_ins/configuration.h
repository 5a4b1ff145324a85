// Writes configurations as the operator does.
#pragma once

#include <string>
#include <vector>

namespace review {

struct Route {
  std::string name;
  std::string host;
  std::string prefix;
  std::string service;
  bool is_idempotent = false;
  int timeout_ms = 1500;
  int attempts = 2;
};

// Returns the value of op/config.
std::string ConfigurationText(unsigned version,
                              const std::vector<Route>& routes,
                              const std::vector<std::string>& services);

}  // namespace review
