// What the engine knows of one call.
#pragma once

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
};

enum class CallPhase {
  kSent,     // an attempt runs
  kQueued,   // waits in the service's admission queue
  kDelayed,  // waits for the time of its retry
  kDone,     // relayed, refused or given up; attempts may still end
};

struct CallState {
  model::CallId id;
  std::shared_ptr<ServiceState> service;
  std::shared_ptr<KindState> kind;
  kernel::Instant arrived_at;
  kernel::Instant deadline;
  std::uint64_t fingerprint = 0;
  CallPhase phase = CallPhase::kSent;
  // When the phase ends by time alone: the hedge, the latest useful start, the
  // retry.
  kernel::Instant due = kernel::Instant::max();
  std::vector<AttemptState> attempts;
  int running_attempts = 0;
  bool may_have_run = false;
  // A whole answer that is a server error, relayed if no better one comes.
  std::optional<model::AttemptId> error_answer;
  model::AttemptResult last_result = model::AttemptResult::kNotSent;
};

}  // namespace burdockwheel::engine
