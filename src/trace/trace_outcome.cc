#include "trace/trace_outcome.h"

#include <nlohmann/json.hpp>
#include <variant>

namespace burdockwheel::trace {

void TraceOutcome::Observe(const engine::Actions& actions) {
  for (const engine::Action& action : actions) {
    if (const auto* start = std::get_if<engine::StartAttempt>(&action)) {
      if (start->cause == engine::AttemptCause::kFirstTry) ++this->first_tries;
      if (start->cause == engine::AttemptCause::kRetry) ++this->retries;
      if (start->cause == engine::AttemptCause::kHedge) ++this->hedges;
      continue;
    }
    if (std::holds_alternative<engine::CancelAttempt>(action)) {
      ++this->cancelled;
      continue;
    }
    if (const auto* relay = std::get_if<engine::RelayAnswer>(&action)) {
      this->endings[relay->call.value] = "relayed";
      continue;
    }
    const auto* refuse = std::get_if<engine::RefuseCall>(&action);
    if (refuse == nullptr) continue;
    std::string& ending = this->endings[refuse->call.value];
    ending = "refused ";
    ending += model::RefusalReasonName(refuse->refusal.reason);
    ending += " ";
    ending += model::RunStateName(refuse->refusal.run_state);
  }
}

nlohmann::json TraceOutcome::ToJson() const {
  nlohmann::json calls = nlohmann::json::object();
  for (const auto& [call, ending] : this->endings)
    calls[std::to_string(call)] = ending;
  return {{"calls", std::move(calls)},
          {"first_tries", this->first_tries},
          {"retries", this->retries},
          {"hedges", this->hedges},
          {"cancelled", this->cancelled}};
}

}  // namespace burdockwheel::trace
