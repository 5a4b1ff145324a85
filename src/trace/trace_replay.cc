#include "trace/trace_replay.h"

#include <exception>
#include <istream>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>

#include "engine/call_engine.h"
#include "trace/action_codec.h"
#include "trace/event_codec.h"
#include "trace/trace_outcome.h"

namespace burdockwheel::trace {

namespace {

using nlohmann::json;

constexpr int kTraceFormat = 1;

// The replay of one trace, line by line.
class Replay {
 public:
  // Takes the next line. Returns a failure if the trace is not met. Throws if
  // the line is not of the form of a trace.
  std::optional<TraceFailure> TakeLine(const std::string& text) {
    this->line += 1;
    const json record = json::parse(text);
    if (this->engine == nullptr) {
      this->Begin(record);
      return std::nullopt;
    }
    if (record.contains("outcome")) return this->End(record.at("outcome"));
    return this->TakeEvent(record);
  }

  TraceFailure Unreadable(const char* why) const {
    return {TraceFailureReason::kUnreadable, this->line, {}, why};
  }

  TraceFailure WithoutOutcome() const {
    return {TraceFailureReason::kOutcomeNotStated, this->line, {}, {}};
  }

  bool HasOutcome() const { return this->has_outcome; }

  TraceReplay Result() const {
    return {this->events, this->outcome.ToJson().dump()};
  }

 private:
  void Begin(const json& record) {
    if (record.at("trace") != kTraceFormat)
      throw std::invalid_argument("trace format");
    this->engine = std::make_unique<engine::CallEngine>(
        SettingsFromJson(record.at("settings")));
  }

  std::optional<TraceFailure> TakeEvent(const json& record) {
    const std::chrono::nanoseconds at(record.at("at_ns").get<std::int64_t>());
    if (at < this->last_at) {
      return TraceFailure{TraceFailureReason::kTimeFell, this->line,
                          std::to_string(this->last_at.count()),
                          std::to_string(at.count())};
    }
    this->last_at = at;
    this->events += 1;
    engine::Actions actions;
    this->engine->Handle(kStart + at, EventFromJson(record.at("event"), kStart),
                         actions);
    this->outcome.Observe(actions);
    if (!record.contains("actions")) return std::nullopt;
    return this->Compare(TraceFailureReason::kActionsDiffer,
                         record.at("actions"), ToJson(actions, kStart));
  }

  std::optional<TraceFailure> End(const json& expected) {
    this->has_outcome = true;
    return this->Compare(TraceFailureReason::kOutcomeDiffers, expected,
                         this->outcome.ToJson());
  }

  std::optional<TraceFailure> Compare(TraceFailureReason reason,
                                      const json& expected,
                                      const json& got) const {
    if (expected == got) return std::nullopt;
    return TraceFailure{reason, this->line, expected.dump(), got.dump()};
  }

  // Decisions hang on differences of times only.
  static constexpr kernel::Instant kStart{std::chrono::hours(1)};

  std::unique_ptr<engine::CallEngine> engine;
  std::chrono::nanoseconds last_at{0};
  TraceOutcome outcome;
  std::size_t line = 0;
  std::size_t events = 0;
  bool has_outcome = false;
};

}  // namespace

std::string_view TraceFailureReasonName(TraceFailureReason reason) {
  switch (reason) {
    case TraceFailureReason::kUnreadable:
      return "unreadable";
    case TraceFailureReason::kTimeFell:
      return "time-fell";
    case TraceFailureReason::kActionsDiffer:
      return "actions-differ";
    case TraceFailureReason::kOutcomeDiffers:
      return "outcome-differs";
    case TraceFailureReason::kOutcomeNotStated:
      return "outcome-not-stated";
  }
  return "unspecified";
}

kernel::Result<TraceReplay, TraceFailure> ReplayEngineTrace(
    std::istream& input) {
  Replay replay;
  std::string text;
  while (!replay.HasOutcome() && std::getline(input, text)) {
    try {
      if (auto failure = replay.TakeLine(text)) return *failure;
    } catch (const std::exception& error) {
      return replay.Unreadable(error.what());
    }
  }
  if (!replay.HasOutcome()) return replay.WithoutOutcome();
  return replay.Result();
}

}  // namespace burdockwheel::trace
