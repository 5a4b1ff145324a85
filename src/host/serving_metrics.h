// What the serving thread of a host counts.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "telemetry/latency_histogram.h"

namespace burdockwheel::host {

// Counters rise for the life of the process. Owned by the serving thread.
struct ServingMetrics {
  std::uint64_t calls_arrived = 0;
  std::uint64_t calls_answered = 0;
  std::uint64_t calls_abandoned = 0;
  std::map<std::string, std::uint64_t> calls_refused;  // by reason
  std::uint64_t attempts_started = 0;
  std::uint64_t attempts_cancelled = 0;
  std::uint64_t attempts_crossing_domains = 0;
  std::uint64_t probes_sent = 0;
  std::uint64_t probe_bytes = 0;
  telemetry::LatencyHistogram call_latency;   // arrival to answer
  telemetry::LatencyHistogram added_latency;  // that, less the attempt's own

  // Returns the counters in the Prometheus text format.
  std::string AsPrometheus() const;
};

}  // namespace burdockwheel::host
