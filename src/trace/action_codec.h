// The form that the engine's actions have in a trace.
#pragma once

#include <nlohmann/json_fwd.hpp>

#include "engine/actions.h"
#include "kernel/instant.h"

namespace burdockwheel::trace {

// Returns the actions as an array. Times are written in nanoseconds since
// `start`.
nlohmann::json ToJson(const engine::Actions& actions, kernel::Instant start);

}  // namespace burdockwheel::trace
