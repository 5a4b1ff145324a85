// A small deployment for proofs with real processes.
#pragma once

#include <chrono>
#include <functional>
#include <string>
#include <vector>

#include "stand_ins/experiment/cluster.h"
#include "stand_ins/load/load_report.h"
#include "stand_ins/load/run_check.h"

namespace burdockwheel::stand_ins {

// Something that happens at a time after the load has begun.
struct ProofEvent {
  std::chrono::milliseconds at{0};
  std::function<void(Cluster&)> act;
};

struct Proof {
  std::vector<ProofEvent> events;  // in the order of their times
  std::vector<std::string> switched_off{};
  double rate = 300;  // calls a second
  std::chrono::milliseconds length{6000};
};

struct ProofResult {
  RunCheckReport runs;
  std::int64_t foreign_answers = 0;
  std::int64_t calls = 0;
  std::int64_t resends = 0;
};

// Starts five hosts, the platform and workers on ports of their own, runs a
// load of keyed calls and reads with the events, lets every call end, and
// compares what callers were told with what workers counted.
ProofResult RunProof(const Proof& proof);

}  // namespace burdockwheel::stand_ins
