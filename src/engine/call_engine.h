// Decides the fate of each call of a host.
#pragma once

#include <memory>
#include <vector>

#include "engine/actions.h"
#include "engine/engine_settings.h"
#include "engine/events.h"
#include "engine/service_report.h"
#include "kernel/instant.h"

namespace burdockwheel::engine {

// Chooses workers, queues, retries, hedges and refuses calls. Pure: the same
// events at the same times with the same seed give the same actions.
class CallEngine {
 public:
  explicit CallEngine(const EngineSettings& settings);
  ~CallEngine();
  CallEngine(const CallEngine&) = delete;
  CallEngine& operator=(const CallEngine&) = delete;

  // Takes one event and appends what is to be done to `actions`. `now` never
  // falls from one event to the next.
  void Handle(kernel::Instant now, const Event& event, Actions& actions);

  // Tells whether any call has been neither relayed nor refused. A planned stop
  // is complete when it turns false.
  bool HasCalls() const;

  // Returns how the services look, in no order.
  std::vector<ServiceReport> Report() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace burdockwheel::engine
