// Runs a load plan on its threads.
#pragma once

#include "stand_ins/load/load_plan.h"
#include "stand_ins/load/load_report.h"

namespace burdockwheel::stand_ins {

// Returns when every call of the plan has ended.
LoadReport RunLoad(const LoadPlan& plan);

}  // namespace burdockwheel::stand_ins
