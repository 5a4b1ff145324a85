// A snapshot of one service's state on a host.
#pragma once

#include <cstddef>
#include <map>

#include "model/identifiers.h"
#include "routing/standing_change.h"

namespace burdockwheel::engine {

struct ServiceReport {
  model::ServiceName service;
  std::size_t waiting_calls = 0;
  double retry_tokens = 0;
  std::map<routing::Standing, int> workers;  // number with each standing
};

}  // namespace burdockwheel::engine
