// Routes that are told apart by host name and path prefix.
#pragma once

#include <string>
#include <vector>

#include "model/identifiers.h"
#include "model/service_definition.h"

namespace burdockwheel::model {

// A service that takes a share of a route's calls.
struct RouteTarget {
  ServiceName service;
  double weight = 1;  // the share is this divided by the sum over all targets

  friend bool operator==(const RouteTarget&, const RouteTarget&) = default;
};

// All calls to one host name whose path begins with the prefix; the longest
// prefix goes first.
struct PrefixRoute {
  std::string host;    // in lower case, without a port
  std::string prefix;  // begins and ends with a slash
  CallKind kind;       // named as the route; without method and pattern
  std::vector<RouteTarget> targets;  // at least one
};

}  // namespace burdockwheel::model
