#include "ownership/outcome_checker.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::ownership {

std::string_view ViolationName(Violation violation) {
  switch (violation) {
    case Violation::kRanTwice:
      return "ran-twice";
    case Violation::kRanAfterNotRun:
      return "ran-after-not-run";
    case Violation::kFalseNotRun:
      return "false-not-run";
    case Violation::kForeignAnswer:
      return "foreign-answer";
    case Violation::kAnsweredTwice:
      return "answered-twice";
    case Violation::kNeverAnswered:
      return "never-answered";
    case Violation::kTooManyKeys:
      return "too-many-keys";
  }
  return "unspecified";
}

OutcomeChecker::Verdict OutcomeChecker::NoteRunStarted(const std::string& key,
                                                       ObservedRun run) {
  const std::size_t earlier_runs = this->RunCount(key);
  KeyHistory& history = this->keys[key];
  run.answer = key + '/' + run.caller + '/' + run.body + '/' +
               std::to_string(history.runs.size());
  history.runs.push_back(std::move(run));
  if (history.is_told_not_run) return Violation::kRanAfterNotRun;
  if (earlier_runs > 0) return Violation::kRanTwice;
  return std::nullopt;
}

ObservedRun* OutcomeChecker::RunInFlightOrNull(const std::string& key) {
  for (ObservedRun& run : this->keys[key].runs)
    if (run.is_in_flight) return &run;
  return nullptr;
}

void OutcomeChecker::AddCall(std::uint64_t number, ObservedCall call) {
  this->calls.insert_or_assign(number, std::move(call));
}

OutcomeChecker::Verdict OutcomeChecker::NoteResult(std::uint64_t number,
                                                   const CallResult& result) {
  ObservedCall& call = this->calls.at(number);
  // Nobody hears what a host says before it learns that the caller is gone.
  if (call.outcome == CallOutcome::kLost) return std::nullopt;
  if (call.outcome != CallOutcome::kWaiting) return Violation::kAnsweredTwice;
  if (const auto* answer = std::get_if<ForwardedAnswer>(&result)) {
    call.outcome = CallOutcome::kAnswered;
    return this->CheckAnswer(call, answer->body);
  }
  const auto& refusal = std::get<model::Refusal>(result);
  call.reason = refusal.reason;
  if (refusal.run_state == model::RunState::kUnknown) {
    call.outcome = CallOutcome::kUnknown;
    return std::nullopt;
  }
  call.outcome = CallOutcome::kNotRun;
  this->keys[call.key].is_told_not_run = true;
  if (this->RunCount(call.key) > 0) return Violation::kFalseNotRun;
  return std::nullopt;
}

void OutcomeChecker::LoseCall(std::uint64_t number) {
  this->calls.at(number).outcome = CallOutcome::kLost;
}

void OutcomeChecker::LoseHost(const std::string& host) {
  for (auto& [number, call] : this->calls)
    if (call.host == host && call.outcome == CallOutcome::kWaiting)
      call.outcome = CallOutcome::kLost;
  for (auto& [key, history] : this->keys)
    for (ObservedRun& run : history.runs)
      if (run.host == host) run.is_in_flight = false;
}

const ObservedCall* OutcomeChecker::CallOrNull(std::uint64_t number) const {
  const auto found = this->calls.find(number);
  return found == this->calls.end() ? nullptr : &found->second;
}

std::size_t OutcomeChecker::RunCount(const std::string& key) const {
  const auto found = this->keys.find(key);
  if (found == this->keys.end()) return 0;
  return static_cast<std::size_t>(
      std::count_if(found->second.runs.begin(), found->second.runs.end(),
                    [](const ObservedRun& run) { return run.may_have_run; }));
}

OutcomeChecker::Verdict OutcomeChecker::CheckAllAnswered() const {
  for (const auto& [number, call] : this->calls)
    if (call.outcome == CallOutcome::kWaiting) return Violation::kNeverAnswered;
  return std::nullopt;
}

OutcomeChecker::Verdict OutcomeChecker::CheckAnswer(const ObservedCall& call,
                                                    const std::string& answer) {
  for (const ObservedRun& run : this->keys[call.key].runs) {
    if (run.answer != answer) continue;
    if (run.caller == call.caller && run.body == call.body) return std::nullopt;
  }
  return Violation::kForeignAnswer;
}

}  // namespace burdockwheel::ownership
