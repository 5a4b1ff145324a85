#include "ownership/trace_step.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace burdockwheel::ownership {

namespace {

using nlohmann::json;

template <typename Value, std::size_t kSize>
using Names = std::array<std::pair<std::string_view, Value>, kSize>;

constexpr Names<StepKind, 21> kStepNames = {{
    {"note", StepKind::kNote},
    {"start", StepKind::kStart},
    {"kill", StepKind::kKill},
    {"pause", StepKind::kPause},
    {"resume", StepKind::kResume},
    {"stop", StepKind::kStop},
    {"view", StepKind::kView},
    {"left", StepKind::kLeft},
    {"issue", StepKind::kIssue},
    {"call", StepKind::kCall},
    {"caller-gone", StepKind::kCallerGone},
    {"end-run", StepKind::kEndRun},
    {"deliver", StepKind::kDeliver},
    {"repeat", StepKind::kRepeat},
    {"lose", StepKind::kLose},
    {"settle", StepKind::kSettle},
    {"cut", StepKind::kCut},
    {"heal", StepKind::kHeal},
    {"pass", StepKind::kPass},
    {"expect", StepKind::kExpect},
    {"expect-runs", StepKind::kExpectRuns},
}};

constexpr Names<CallOutcome, 5> kOutcomeNames = {{
    {"waiting", CallOutcome::kWaiting},
    {"answered", CallOutcome::kAnswered},
    {"not-run", CallOutcome::kNotRun},
    {"unknown", CallOutcome::kUnknown},
    {"lost", CallOutcome::kLost},
}};

constexpr Names<RunEnd, 4> kRunEndNames = {{
    {"answered", RunEnd::kAnswered},
    {"overloaded", RunEnd::kOverloaded},
    {"late", RunEnd::kLate},
    {"broken", RunEnd::kBroken},
}};

// A name in a trace that this release does not know.
struct UnknownName {};

template <typename Value, std::size_t kSize>
Value ValueNamed(const Names<Value, kSize>& names, std::string_view wanted) {
  for (const auto& [name, value] : names)
    if (name == wanted) return value;
  throw UnknownName{};
}

template <typename Value, std::size_t kSize>
std::string NameOf(const Names<Value, kSize>& names, Value wanted) {
  for (const auto& [name, value] : names)
    if (value == wanted) return std::string(name);
  return {};
}

template <typename Value>
void Read(const json& object, const char* name, Value& value) {
  if (object.contains(name)) object.at(name).get_to(value);
}

template <typename Value>
void Write(json& object, const char* name, const Value& value) {
  if (value != Value{}) object[name] = value;
}

TraceStep StepOf(const json& object) {
  TraceStep step;
  step.kind =
      ValueNamed(kStepNames, object.at("step").get_ref<const std::string&>());
  Read(object, "host", step.host);
  Read(object, "peer", step.peer);
  Read(object, "key", step.key);
  Read(object, "caller", step.caller);
  Read(object, "body", step.body);
  Read(object, "reason", step.reason);
  Read(object, "text", step.text);
  Read(object, "hosts", step.hosts);
  Read(object, "call", step.call);
  Read(object, "index", step.index);
  Read(object, "count", step.count);
  std::int64_t duration_ms = 0;
  Read(object, "duration_ms", duration_ms);
  step.duration = std::chrono::milliseconds(duration_ms);
  std::string name = "answered";
  Read(object, "run_end", name);
  step.run_end = ValueNamed(kRunEndNames, name);
  name = "waiting";
  Read(object, "outcome", name);
  step.outcome = ValueNamed(kOutcomeNames, name);
  return step;
}

}  // namespace

kernel::Result<TraceStep, StepParseFailure> ParseTraceStep(
    std::string_view line) {
  const json object = json::parse(line, nullptr, false);
  if (object.is_discarded() || !object.is_object())
    return StepParseFailure::kNotJson;
  try {
    return StepOf(object);
  } catch (const UnknownName&) {
    return StepParseFailure::kUnknownName;
  } catch (const json::exception&) {
    return StepParseFailure::kWrongType;
  }
}

std::string TraceStepLine(const TraceStep& step) {
  nlohmann::ordered_json line;
  line["step"] = NameOf(kStepNames, step.kind);
  json object;
  Write(object, "host", step.host);
  Write(object, "peer", step.peer);
  Write(object, "key", step.key);
  Write(object, "caller", step.caller);
  Write(object, "body", step.body);
  Write(object, "reason", step.reason);
  Write(object, "text", step.text);
  Write(object, "hosts", step.hosts);
  Write(object, "call", step.call);
  Write(object, "index", step.index);
  Write(object, "count", step.count);
  Write(object, "duration_ms", step.duration.count());
  if (step.kind == StepKind::kEndRun)
    object["run_end"] = NameOf(kRunEndNames, step.run_end);
  if (step.kind == StepKind::kExpect)
    object["outcome"] = NameOf(kOutcomeNames, step.outcome);
  for (const auto& [name, value] : object.items()) line[name] = value;
  return line.dump();
}

}  // namespace burdockwheel::ownership
