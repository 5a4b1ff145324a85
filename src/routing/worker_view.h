// What a routing policy sees of a worker that may take a call.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "kernel/instant.h"
#include "model/attempt_outcome.h"

namespace burdockwheel::routing {

// Identifies a worker within one ServiceRouter; never given to another worker.
using WorkerKey = std::uint32_t;

struct WorkerView {
  WorkerKey key = 0;
  bool is_local = true;   // in the host's own failure domain
  int slots = 6;          // calls that the worker runs at the same time
  int own_in_flight = 0;  // this host's attempts that have not ended
  double weight = 1.0;    // above 0, up to 1; below 1 in a cold start
  // Calls at the worker from all hosts: the newest report aged and corrected.
  double expected_load = 0;
  double failure_score = 0;  // recent failures, decayed
  // Time that one call takes on a free slot; 0 without any answer yet.
  std::chrono::nanoseconds service_time{0};
  // Time until a call sent now is answered, with the cost of crossing.
  std::chrono::nanoseconds expected_delay{0};
  // What an answer of the worker is expected to be worth, 0 to 1: the chance
  // that it comes within the call's objective, and little for one that comes
  // later.
  double expected_worth = 1;
  // What the connection that a call needs costs, as a share of what an answer
  // is worth; nothing while a kept one is free.
  double connection_cost = 0;
  std::optional<model::WorkerReport> report;  // the newest one
  kernel::Instant reported_at;                // meaningful with a report
};

}  // namespace burdockwheel::routing
