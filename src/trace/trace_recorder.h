// Writes what an engine was told and what it decided.
#pragma once

#include <iosfwd>

#include "engine/actions.h"
#include "engine/engine_settings.h"
#include "engine/events.h"
#include "kernel/instant.h"
#include "trace/trace_outcome.h"

namespace burdockwheel::trace {

// Writes a trace as lines of JSON: the format and the settings first, then an
// event with its actions in each line, and the outcome at the end.
class TraceRecorder {
 public:
  // Whether the choice of worker and the like is part of what is proved.
  enum class Detail { kEveryAction, kOutcomeOnly };

  // `start`: the time that the trace's times count from.
  TraceRecorder(std::ostream& output, const engine::EngineSettings& settings,
                kernel::Instant start, Detail detail = Detail::kEveryAction);

  // Takes an event and the actions that the engine gave back for it.
  void Record(kernel::Instant now, const engine::Event& event,
              const engine::Actions& actions);

  // Writes the outcome. Nothing may be recorded after it.
  void Finish();

 private:
  std::ostream& output;
  kernel::Instant start;
  Detail detail;
  TraceOutcome outcome;
};

}  // namespace burdockwheel::trace
