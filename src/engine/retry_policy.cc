#include "engine/retry_policy.h"

#include "engine/call_state.h"
#include "engine/service_state.h"

namespace burdockwheel::engine {

bool IsRetryableStatus(int status) {
  // Internal Server Error, Bad Gateway, Service Unavailable, Gateway Timeout
  // (RFC 9110, section 15.6).
  return status == 500 || status == 502 || status == 503 || status == 504;
}

std::optional<ExtraAttempt> ClassifyRetry(
    kernel::Instant now, const CallState& call,
    const model::AttemptOutcome& outcome) {
  if (outcome.is_retry_forbidden) return std::nullopt;
  const model::CallKind& kind = call.kind->definition;
  if (static_cast<int>(call.attempts.size()) >= kind.most_attempts)
    return std::nullopt;
  if (!kind.is_idempotent && call.may_have_run) return std::nullopt;
  const auto fastest = call.kind->fast_latency.HasValue()
                           ? call.kind->fast_latency.Value()
                           : std::chrono::nanoseconds(0);
  if (now + fastest >= call.deadline) return std::nullopt;
  switch (outcome.result) {
    case model::AttemptResult::kAnswered:
      if (!IsRetryableStatus(outcome.status)) return std::nullopt;
      return ExtraAttempt::kRetryOfErrorAnswer;
    case model::AttemptResult::kRefused:
    case model::AttemptResult::kMisdirected:
    case model::AttemptResult::kNotSent:
    case model::AttemptResult::kBroken:
      return ExtraAttempt::kRetryOfFailure;
    case model::AttemptResult::kTimedOut:
    case model::AttemptResult::kCancelled:
      return std::nullopt;
  }
  return std::nullopt;
}

}  // namespace burdockwheel::engine
