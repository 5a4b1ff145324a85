// A number of a configuration that hosts cannot take as it is stated.
#pragma once

#include <functional>
#include <string>

namespace burdockwheel::configuration {

struct AdjustedValue {
  std::string place;   // such as "route r-1 timeout_ms"
  std::string stated;  // as it was written
  std::string used;    // what hosts take for it

  friend bool operator==(const AdjustedValue&, const AdjustedValue&) = default;
};

using AdjustedValueHook = std::function<void(const AdjustedValue&)>;

}  // namespace burdockwheel::configuration
