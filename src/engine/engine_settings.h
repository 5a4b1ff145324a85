// What a host's settings say that the decisions on its calls depend on.
#pragma once

#include <cstdint>

#include "engine/admission_queue.h"
#include "model/identifiers.h"
#include "routing/router_settings.h"

namespace burdockwheel::engine {

// What a test may switch off to show what it protects from. Hosts leave all on.
struct Protections {
  bool has_retry_budget = true;
  bool has_crash_guard = true;
  // Calls that cannot meet their deadline are refused before they are sent.
  bool has_deadline_check = true;
  AdmissionQueue::Protections queue;
};

struct EngineSettings {
  model::FailureDomain failure_domain;
  std::uint64_t random_seed = 0;
  int most_depth = 6;  // deepest call that is taken
  Protections protections;
  routing::RouterSettings routing;
};

}  // namespace burdockwheel::engine
