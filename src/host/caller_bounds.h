// How the limits of callers in the configuration and a host's own go together.
#pragma once

#include <cstdint>
#include <vector>

#include "configuration/adjusted_value.h"
#include "model/caller_limits.h"

namespace burdockwheel::http {

struct SessionLimits;

}  // namespace burdockwheel::http

namespace burdockwheel::host {

// Returns the limits of callers' connections. `most_body_bytes`: what the host
// itself takes of a body, for its memory's sake.
http::SessionLimits SessionLimitsOf(const model::CallerLimits& callers,
                                    std::int64_t most_body_bytes);

// Returns the limits up to which callers may go by the configuration, and not
// at this host.
std::vector<configuration::AdjustedValue> LoweredLimits(
    const model::CallerLimits& callers, std::int64_t most_body_bytes);

}  // namespace burdockwheel::host
