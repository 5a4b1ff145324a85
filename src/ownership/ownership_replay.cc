#include "ownership/ownership_replay.h"

namespace burdockwheel::ownership {

namespace {

ReplayFailure FailureAt(std::size_t line, const StepFailure& failure) {
  if (const auto* error = std::get_if<StepError>(&failure))
    return {line, *error};
  return {line, std::get<Violation>(failure)};
}

bool IsExpectation(StepKind kind) {
  return kind == StepKind::kExpect || kind == StepKind::kExpectRuns;
}

}  // namespace

std::string ReplayFailureName(const ReplayFailure& failure) {
  if (std::holds_alternative<StepParseFailure>(failure.cause))
    return "malformed-step";
  if (const auto* error = std::get_if<StepError>(&failure.cause))
    return std::string(StepErrorName(*error));
  return std::string(ViolationName(std::get<Violation>(failure.cause)));
}

kernel::Result<ReplaySummary, ReplayFailure> ReplayOwnershipTrace(
    std::istream& trace) {
  TracePlayer player;
  ReplaySummary summary;
  std::size_t line_number = 0;
  std::string line;
  while (std::getline(trace, line)) {
    line_number += 1;
    if (line.empty()) continue;
    const auto step = ParseTraceStep(line);
    if (!step.HasValue()) return ReplayFailure{line_number, step.Failure()};
    if (const auto failure = player.Play(step.Value()))
      return FailureAt(line_number, *failure);
    summary.steps += 1;
    if (IsExpectation(step.Value().kind)) summary.expectations += 1;
  }
  if (const auto failure = player.Finish())
    return FailureAt(line_number + 1, *failure);
  return summary;
}

}  // namespace burdockwheel::ownership
