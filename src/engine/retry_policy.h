// Decides whether a call is retried after an attempt has ended.
#pragma once

#include <optional>

#include "engine/retry_budget.h"
#include "kernel/instant.h"
#include "model/attempt_outcome.h"

namespace burdockwheel::engine {

struct CallState;

// Returns whether the status is a server error that a retry on another worker
// may avoid.
bool IsRetryableStatus(int status);

// Returns which kind of extra attempt a retry would be, or nullopt if the call
// must not be retried. A non-idempotent call is retried only while every
// attempt is proven not to have run. Does not check the retry budget.
std::optional<ExtraAttempt> ClassifyRetry(kernel::Instant now,
                                          const CallState& call,
                                          const model::AttemptOutcome& outcome);

}  // namespace burdockwheel::engine
