// The engine's state of one call and its attempts.
#pragma once

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <vector>

#include "engine/actions.h"
#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"

namespace burdockwheel::engine {

class ServiceState;
struct KindState;

struct AttemptState {
  model::AttemptId id;
  model::WorkerId worker;
  kernel::Instant started_at;
  AttemptCause cause = AttemptCause::kFirstTry;
  bool is_running = true;
  std::chrono::nanoseconds expected_work{0};  // of a hedge
  // Its answer would tell the caller that the call has not run.
  bool is_promise_of_not_run = false;
};

enum class CallPhase {
  kSent,            // an attempt is running
  kQueued,          // waits in the service's admission queue
  kWaitingToRetry,  // waits for the delay before its retry
  kDone,  // relayed, refused or abandoned; attempts may still be running
};

struct CallState {
  model::CallId id;
  std::shared_ptr<ServiceState> service;
  std::shared_ptr<KindState> kind;
  kernel::Instant arrived_at;
  kernel::Instant deadline;
  std::uint64_t fingerprint = 0;
  CallPhase phase = CallPhase::kSent;
  // When the call's timer fires: to hedge (kSent), at the latest start that can
  // meet the deadline (kQueued) or to retry (kWaitingToRetry).
  kernel::Instant timer_at = kernel::Instant::max();
  std::vector<AttemptState> attempts;
  int running_attempts = 0;
  bool may_have_run = false;
  bool was_hedge_denied = false;
  // A complete answer with a server error, relayed if no better one arrives.
  std::optional<model::AttemptId> error_answer;
  model::AttemptResult last_result = model::AttemptResult::kNotSent;
};

}  // namespace burdockwheel::engine
