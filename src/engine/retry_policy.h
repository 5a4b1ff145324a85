// Decides whether a call is tried again after an attempt has ended.
#pragma once

#include <optional>

#include "engine/retry_budget.h"
#include "kernel/instant.h"
#include "model/attempt_outcome.h"

namespace burdockwheel::engine {

struct CallState;

// Tells whether the status is a server error that another worker may not give.
bool IsRetryableStatus(int status);

// Returns what a further attempt would be paid as, or nothing if the call must
// not be tried again. A call that must not run twice is tried again only while
// every attempt is proven not to have run. The budget is not asked.
std::optional<ExtraAttempt> ClassifyRetry(kernel::Instant now,
                                          const CallState& call,
                                          const model::AttemptOutcome& outcome);

}  // namespace burdockwheel::engine
