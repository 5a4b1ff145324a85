// One run of a soak, from its plan to its verdict.
#pragma once

#include <map>
#include <vector>

#include "stand_ins/soak/promise.h"
#include "stand_ins/soak/promise_ledger.h"
#include "stand_ins/soak/soak_plan.h"
#include "stand_ins/soak/soak_system.h"

namespace burdockwheel::stand_ins {

struct SoakReport {
  bool is_started = false;  // nothing was judged otherwise
  SoakPlan plan;
  SoakCounts counts;
  std::map<SoakFault, int> injected;
  int stops_overrun = 0;
  int machine_pauses = 0;
  std::vector<Violation> violations;
};

SoakReport RunSoak(const SoakSettings& settings, const SoakPaths& paths);

}  // namespace burdockwheel::stand_ins
