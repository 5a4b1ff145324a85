// Finds the kind of call that a request is.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet_configuration.h"

namespace burdockwheel::configuration {

// Where a kind of call stands in a FleetConfiguration.
struct Route {
  std::size_t service_index = 0;
  std::size_t kind_index = 0;

  friend bool operator==(const Route&, const Route&) = default;
};

// A tree of path segments. Immutable; holds no reference to the configuration.
class RouteTable {
 public:
  explicit RouteTable(const model::FleetConfiguration& configuration);

  // Returns the route of a request with this method and target in origin form
  // (RFC 9112, section 3.2.1); a query is passed over. In each segment a
  // literal goes before a wildcard. HEAD is routed as GET if there is no route
  // of its own. A wildcard matches neither an empty segment nor a dot segment
  // (RFC 3986, section 3.3), escaped or not, since a worker may resolve it to
  // another path. Allocates nothing.
  std::optional<Route> Find(std::string_view method,
                            std::string_view target) const;

 private:
  struct Edge {
    std::string segment;
    std::uint32_t node = 0;
  };
  struct MethodRoute {
    std::string method;
    Route route;
  };
  struct Node {
    std::vector<Edge> literals;  // in order of their segments
    std::uint32_t wildcard = 0;  // 0: none, since no edge leads to the root
    std::vector<MethodRoute> methods;
  };

  void Insert(const std::string& method, std::string_view pattern, Route route);
  std::uint32_t ChildFor(std::uint32_t node, std::string_view segment);
  static const Edge* FindLiteralOrNull(const Node& node,
                                       std::string_view segment);
  static const Route* FindMethodOrNull(const Node& node,
                                       std::string_view method);
  const Route* FindOrNull(std::uint32_t node, std::string_view method,
                          std::string_view rest) const;

  std::vector<Node> nodes;
};

}  // namespace burdockwheel::configuration
