// What the serving thread of a host counts.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <string>

#include "host/call_journal.h"
#include "telemetry/latency_histogram.h"
#include "telemetry/metric_text.h"

namespace burdockwheel::host {

// How a call ended, as its caller sees it.
enum class CallOutcome {
  kInTime,  // a worker's answer within the kind's objective
  kLate,    // a worker's answer after it
  kFailed,  // a worker's answer that tells of a failure, or none
  kRefused  // the host stated that the call has not run
};

// Counters rise for the life of the process. Owned by the serving thread.
struct ServingMetrics {
  static constexpr std::size_t kOutcomes = 4;
  // Kinds beyond it are counted together, so that a configuration with many
  // routes does not fill the memory.
  static constexpr std::size_t kMostKinds = 64;

  using ByOutcome = std::array<telemetry::LatencyHistogram, kOutcomes>;

  std::uint64_t calls_arrived = 0;
  std::uint64_t requests_unreadable = 0;
  std::uint64_t calls_answered = 0;
  std::uint64_t calls_abandoned = 0;
  std::map<std::string, std::uint64_t> calls_refused;  // by reason
  std::uint64_t attempts_started = 0;
  std::uint64_t attempts_cancelled = 0;
  std::uint64_t probes_sent = 0;
  std::uint64_t probe_bytes = 0;
  std::map<std::string, ByOutcome> call_latency;  // by kind; arrival to end
  telemetry::LatencyHistogram added_latency;  // that, less the attempt's own
  telemetry::LatencyHistogram loop_lag;       // how late timers fire

  void AddCall(const std::string& kind, CallOutcome outcome,
               std::chrono::nanoseconds latency);

  void Write(telemetry::MetricText& text) const;
};

// Writes what the log did not tell.
void WriteLogMetrics(const CallJournal::Counts& calls,
                     telemetry::MetricText& text);

}  // namespace burdockwheel::host
