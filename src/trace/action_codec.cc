#include "trace/action_codec.h"

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string_view>

namespace burdockwheel::trace {

namespace {

using nlohmann::json;

std::string_view CauseName(engine::AttemptCause cause) {
  switch (cause) {
    case engine::AttemptCause::kFirstTry:
      return "first-try";
    case engine::AttemptCause::kRetry:
      return "retry";
    case engine::AttemptCause::kHedge:
      return "hedge";
  }
  return "unknown";
}

// Writes each kind of action.
struct ActionWriter {
  kernel::Instant start;

  std::int64_t SinceStart(kernel::Instant time) const {
    const std::chrono::nanoseconds since = time - this->start;
    return since.count();
  }

  json operator()(const engine::StartAttempt& action) const {
    return {{"type", "start-attempt"},
            {"call", action.call.value},
            {"attempt", action.attempt.value},
            {"worker", action.worker.value},
            {"deadline_ns", this->SinceStart(action.deadline)},
            {"cause", CauseName(action.cause)}};
  }

  json operator()(const engine::RecordQueued& action) const {
    return {{"type", "note-queued"},
            {"call", action.call.value},
            {"evidence", action.evidence}};
  }

  json operator()(const engine::CancelAttempt& action) const {
    return {{"type", "cancel-attempt"},
            {"call", action.call.value},
            {"attempt", action.attempt.value}};
  }

  json operator()(const engine::RelayAnswer& action) const {
    return {{"type", "relay-answer"},
            {"call", action.call.value},
            {"attempt", action.attempt.value}};
  }

  json operator()(const engine::RefuseCall& action) const {
    return {{"type", "refuse-call"},
            {"call", action.call.value},
            {"reason", model::RefusalReasonName(action.refusal.reason)},
            {"run_state", model::RunStateName(action.refusal.run_state)},
            {"retry_after_ms", action.refusal.retry_after.count()},
            {"evidence", action.evidence}};
  }

  json operator()(const engine::SendProbe& action) const {
    return {{"type", "send-probe"},
            {"worker", action.worker.value},
            {"service", action.service.value}};
  }

  json operator()(const engine::ShareLoad& action) const {
    return {{"type", "share-load"},
            {"entries", action.share.digest.size()},
            {"is_wide", action.share.is_wide}};
  }

  json operator()(const engine::WakeAt& action) const {
    return {{"type", "wake-at"}, {"time_ns", this->SinceStart(action.time)}};
  }

  json operator()(const engine::ShareCrashSuspicion& action) const {
    return {{"type", "share-crash-suspicion"},
            {"fingerprint", action.fingerprint},
            {"service", action.service.value},
            {"worker", action.worker.value},
            {"crashes", action.crashes}};
  }

  json operator()(const engine::RecordChange& action) const {
    return {{"type", "record-change"}, {"subject", action.subject},
            {"from", action.from},     {"to", action.to},
            {"cause", action.cause},   {"evidence", action.evidence}};
  }
};

}  // namespace

json ToJson(const engine::Actions& actions, kernel::Instant start) {
  json text = json::array();
  for (const engine::Action& action : actions)
    text.push_back(std::visit(ActionWriter{start}, action));
  return text;
}

}  // namespace burdockwheel::trace
