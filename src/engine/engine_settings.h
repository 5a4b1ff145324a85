// The host settings that the call engine depends on.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "engine/admission_queue.h"
#include "engine/hedge_budget.h"
#include "engine/retry_budget.h"
#include "load/load_watch.h"
#include "model/identifiers.h"
#include "routing/router_settings.h"

namespace burdockwheel::engine {

// Protections that a test may disable to show what they prevent. Hosts leave
// all of them enabled.
struct Protections {
  bool has_retry_budget = true;
  bool has_crash_guard = true;
  // Calls that cannot meet their deadline are refused before they are sent.
  bool has_deadline_check = true;
  AdmissionQueue::Protections queue;
};

// Limits the retries and hedges that all hosts of a deployment together may add
// to a service's load: a share of its calls plus a constant number that does
// not depend on the call rate. The constant number is divided among the hosts
// and limits the tokens that each can save up. Without it each host applies the
// service's own share.
struct FleetRetryLimit {
  double share = 0;
  double slack = 0;
};

struct EngineSettings {
  model::FailureDomain failure_domain;
  std::string peer_address;  // of this host
  std::uint64_t random_seed = 0;
  int max_depth = 6;  // deeper calls are refused
  Protections protections;
  routing::RouterSettings routing;
  RetryBudgetSettings retry;
  std::optional<FleetRetryLimit> fleet_retry;
  // Whether callers are told to return at once if workers refused their call
  // although the service has room.
  bool is_return_prompt = false;
  // Without it only the retry budget limits hedges.
  std::optional<HedgeLimit> hedge_limit;
  // If its interval is zero, the routing policies request probes themselves.
  load::LoadWatchSettings load_watch;
};

}  // namespace burdockwheel::engine
