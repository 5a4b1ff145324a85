// A snapshot of one service's state on a host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>

#include "engine/hedge_budget.h"
#include "model/identifiers.h"
#include "routing/standing_change.h"

namespace burdockwheel::engine {

struct ServiceReport {
  model::ServiceName service;
  std::size_t waiting_calls = 0;
  double retry_tokens = 0;
  std::map<routing::Standing, int> workers;  // number with each standing
  int cold_workers = 0;                      // where their load is bounded
  // Calls that waited since all workers with room were cold.
  std::uint64_t calls_held_back = 0;
  HedgeBudget::Counts hedges = {};  // where operators have set a limit
};

}  // namespace burdockwheel::engine
