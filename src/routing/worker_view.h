// What a routing policy sees of a worker that may take a call.
#pragma once

#include <chrono>
#include <optional>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"

namespace burdockwheel::routing {

struct WorkerView {
  model::WorkerAddress address;
  bool is_local = true;   // in the host's own failure domain
  int slots = 6;          // calls that the worker runs at the same time
  int own_in_flight = 0;  // this host's attempts that have not ended
  double weight = 1.0;    // 0 to 1; below 1 in a cold start or on probation
  std::chrono::nanoseconds latency{0};     // smoothed, own calls; 0: none yet
  std::chrono::nanoseconds oldest_age{0};  // age of the oldest own attempt
  std::optional<model::WorkerReport> report;  // the newest one
  kernel::Instant reported_at;                // meaningful with a report
};

}  // namespace burdockwheel::routing
