// What a host's settings say that the decisions on its calls depend on.
#pragma once

#include <cstdint>
#include <optional>

#include "engine/admission_queue.h"
#include "engine/retry_budget.h"
#include "load/load_watch.h"
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

// What all hosts of a deployment together may add to a service's load by
// further attempts: a share of its calls, and a number that is the same however
// few they are. Without it each host keeps to the service's own share.
struct FleetRetryLimit {
  double share = 0;
  double slack = 0;
};

struct EngineSettings {
  model::FailureDomain failure_domain;
  std::uint64_t random_seed = 0;
  int max_depth = 6;  // deepest call that is taken
  Protections protections;
  routing::RouterSettings routing;
  RetryBudgetSettings retry;
  std::optional<FleetRetryLimit> fleet_retry;
  // Without an interval the routing policies measure for themselves.
  load::LoadWatchSettings load_watch;
};

}  // namespace burdockwheel::engine
