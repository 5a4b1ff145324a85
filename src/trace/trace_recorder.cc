#include "trace/trace_recorder.h"

#include <nlohmann/json.hpp>
#include <ostream>

#include "trace/action_codec.h"
#include "trace/event_codec.h"

namespace burdockwheel::trace {

namespace {

constexpr int kTraceFormat = 1;

}  // namespace

TraceRecorder::TraceRecorder(std::ostream& output,
                             const engine::EngineSettings& settings,
                             kernel::Instant start, Detail detail)
    : output(output), start(start), detail(detail) {
  const nlohmann::json header = {{"trace", kTraceFormat},
                                 {"settings", ToJson(settings)}};
  this->output << header.dump() << '\n';
}

void TraceRecorder::Record(kernel::Instant now, const engine::Event& event,
                           const engine::Actions& actions) {
  const std::chrono::nanoseconds at = now - this->start;
  nlohmann::json line = {{"at_ns", at.count()},
                         {"event", ToJson(event, this->start)}};
  if (this->detail == Detail::kEveryAction)
    line["actions"] = ToJson(actions, this->start);
  this->output << line.dump() << '\n';
  this->outcome.Observe(actions);
}

void TraceRecorder::Finish() {
  const nlohmann::json line = {{"outcome", this->outcome.ToJson()}};
  this->output << line.dump() << '\n';
}

}  // namespace burdockwheel::trace
