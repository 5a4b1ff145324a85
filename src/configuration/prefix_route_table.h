// Finds the prefix route of a request.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "model/prefix_route.h"

namespace burdockwheel::configuration {

// Maps host names to their prefixes. Immutable; holds no reference to the
// routes.
class PrefixRouteTable {
 public:
  explicit PrefixRouteTable(const std::vector<model::PrefixRoute>& routes);

  // Returns the index of the route with the longest prefix that begins the
  // target's path. `host` is the value of the Host header: its case and port
  // are passed over.
  std::optional<std::size_t> Find(std::string_view host,
                                  std::string_view target) const;

 private:
  struct Entry {
    std::string prefix;
    std::size_t index = 0;
  };

  std::unordered_map<std::string, std::vector<Entry>> entries;  // longest first
};

}  // namespace burdockwheel::configuration
