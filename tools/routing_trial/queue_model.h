// A small queue model against which routing policies are tried.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "routing/probe_budget.h"
#include "routing/router_settings.h"

namespace burdockwheel::routing_trial {

enum class Fault {
  kNone,
  kOneSlow,       // one worker becomes ten times slower
  kOneRejecting,  // one worker refuses every call at once and claims idleness
};

// One run of the model: hosts, workers and the load on them.
struct TrialCase {
  int hosts = 19;
  int workers = 6;
  int slots = 6;
  int domains = 1;
  double load = 0.85;  // of what the workers can do under the fault
  Fault fault = Fault::kNone;
  std::chrono::nanoseconds duration = std::chrono::seconds(40);
  std::chrono::nanoseconds most_wait = std::chrono::milliseconds(200);
  std::uint64_t seed = 1;
  // A registered policy, "oracle" (knows true queues and speeds) or
  // "oracle-queues" (knows true queues).
  std::string policy;
  routing::RouterSettings router;
  routing::ProbeBudgetSettings probes;
};

struct TrialResult {
  std::vector<std::chrono::nanoseconds> latencies;  // sorted, of answered calls
  std::uint64_t calls = 0;
  std::uint64_t attempts = 0;
  std::uint64_t refused_attempts = 0;
  std::uint64_t probes = 0;
  std::uint64_t crossings = 0;
  std::uint64_t dropped = 0;  // calls that waited too long at their host
  double goodput = 0;         // answers, as a share of what workers can do
  std::vector<std::uint64_t> held_counts;  // arrivals by calls that a healthy
                                           // worker held, itself included

  // Precondition: a call was answered. `share` is from 0 to 1.
  std::chrono::nanoseconds Quantile(double share) const;

  // Returns how many calls a healthy worker held at the quantile of arrivals.
  int HeldQuantile(double share) const;
};

// Runs the case. The same case gives the same result.
TrialResult RunTrial(const TrialCase& trial_case);

}  // namespace burdockwheel::routing_trial
