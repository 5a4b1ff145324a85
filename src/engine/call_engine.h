// Decides how each of a host's calls is routed, retried and ended.
#pragma once

#include <memory>
#include <vector>

#include "engine/actions.h"
#include "engine/engine_settings.h"
#include "engine/events.h"
#include "engine/service_report.h"
#include "kernel/instant.h"

namespace burdockwheel::engine {

// Chooses workers, queues, retries, hedges and refuses calls. Deterministic:
// the same events at the same times with the same seed give the same actions.
class CallEngine {
 public:
  explicit CallEngine(const EngineSettings& settings);
  ~CallEngine();
  CallEngine(const CallEngine&) = delete;
  CallEngine& operator=(const CallEngine&) = delete;

  // Handles one event and appends the resulting actions to `actions`. `now`
  // must not decrease from one event to the next.
  void Handle(kernel::Instant now, const Event& event, Actions& actions);

  // Returns whether any call has been neither relayed nor refused. A planned
  // stop is complete when it turns false.
  bool HasCalls() const;

  // Returns a snapshot of each service, in no particular order.
  std::vector<ServiceReport> Report(kernel::Instant now) const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace burdockwheel::engine
