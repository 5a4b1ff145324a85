// How a service wants its traffic handled: the contents of one operators' file.
#pragma once

#include <chrono>
#include <string>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::model {

// One kind of call of a service.
struct CallKind {
  std::string name;
  std::string method;        // an HTTP method, such as "GET"
  std::string path_pattern;  // such as "/slots/{plant}"; "{x}" is one segment
  bool is_idempotent = false;
  bool is_key_required = true;  // for calls that are not idempotent
  int weight = 1;               // share of capacity under overload
  std::chrono::milliseconds deadline{1000};
  int most_attempts = 3;  // workers that one call may be sent to
  std::chrono::milliseconds hedge_after{0};  // zero: no hedging
  // An answer within this time is worth its full value to the caller; zero: the
  // deadline.
  std::chrono::milliseconds objective{0};
  int priority = 0;  // rank among the kinds of a service, 0 goes first
};

// The bounds of a service's queue on one host.
struct QueueLimits {
  int most_calls = 512;
  std::chrono::milliseconds most_wait{200};
};

// When work may cross into another failure domain.
struct LocalityPolicy {
  bool is_local_preferred = true;
  std::chrono::microseconds crossing_cost{5000};
  // What crossing costs, as a share of what the answer to a call of weight 1 is
  // worth; zero: only the time counts.
  double crossing_price = 0;
};

// What a worker that has just started bears.
struct WarmUpPolicy {
  double calls_per_second = 0;  // from all hosts; zero: no limit
  std::chrono::milliseconds duration{0};

  friend bool operator==(const WarmUpPolicy&, const WarmUpPolicy&) = default;
};

struct ServiceDefinition {
  ServiceName name;
  int worker_slots = 6;          // calls that a worker runs at the same time
  int worker_connections = 250;  // from all entry hosts together
  // What a new connection costs, as a share of what an answer is worth; only
  // policies that weigh answers by their worth regard it.
  double connection_price = 0;
  // Target of requests that ask a worker for its health; empty: the default.
  std::string health_path;
  WarmUpPolicy warm_up;
  double retry_share = 0.1;    // retries and hedges for each first try
  std::string routing_policy;  // a registered policy; empty: the default
  QueueLimits queue;
  LocalityPolicy locality;
  std::vector<CallKind> kinds;
};

}  // namespace burdockwheel::model
