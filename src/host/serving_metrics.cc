#include "host/serving_metrics.h"

#include <string_view>

#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

using telemetry::MetricLabel;
using telemetry::MetricType;

constexpr std::array<std::string_view, ServingMetrics::kOutcomes>
    kOutcomeNames = {"in-time", "late", "failed", "refused"};
constexpr std::string_view kOtherKinds = "other";

}  // namespace

void ServingMetrics::AddCall(const std::string& kind, CallOutcome outcome,
                             std::chrono::nanoseconds latency) {
  auto found = this->call_latency.find(kind);
  if (found == this->call_latency.end()) {
    const bool is_full = this->call_latency.size() >= kMostKinds;
    const auto name = is_full ? std::string(kOtherKinds) : kind;
    found = this->call_latency.try_emplace(name).first;
  }
  found->second.at(static_cast<std::size_t>(outcome)).Add(latency);
}

void ServingMetrics::Write(telemetry::MetricText& text) const {
  text.Counter("calls_arrived_total", "Calls that were taken.",
               static_cast<double>(this->calls_arrived));
  text.Counter("requests_unreadable_total",
               "Connections whose bytes were no request or came too slowly.",
               static_cast<double>(this->requests_unreadable));
  text.Counter("calls_answered_total", "Calls with a worker's answer.",
               static_cast<double>(this->calls_answered));
  text.Counter("calls_abandoned_total", "Calls whose caller went away.",
               static_cast<double>(this->calls_abandoned));
  text.Family("calls_refused_total", MetricType::kCounter,
              "Calls that the host ended itself, by reason.");
  for (const auto& [reason, count] : this->calls_refused)
    text.Sample(MetricLabel("reason", reason), static_cast<double>(count));
  text.Counter("attempts_started_total", "Sendings of calls to workers.",
               static_cast<double>(this->attempts_started));
  text.Counter("attempts_cancelled_total", "Sendings that were given up.",
               static_cast<double>(this->attempts_cancelled));
  text.Counter("probes_sent_total", "Questions for workers' load.",
               static_cast<double>(this->probes_sent));
  text.Counter("probe_bytes_total", "Bytes of these and of their answers.",
               static_cast<double>(this->probe_bytes));
  text.Family("call_seconds", MetricType::kHistogram,
              "Arrival to end of calls, by kind and outcome.");
  for (const auto& [kind, outcomes] : this->call_latency) {
    for (std::size_t index = 0; index < kOutcomes; ++index) {
      if (outcomes.at(index).Count() == 0) continue;
      text.Sample(MetricLabel("kind", kind) + "," +
                      MetricLabel("outcome", kOutcomeNames.at(index)),
                  outcomes.at(index));
    }
  }
  text.Family("added_seconds", MetricType::kHistogram,
              "The same without the time of the attempt that was relayed.");
  text.Sample("", this->added_latency);
  text.Family("serving_loop_lag_seconds", MetricType::kHistogram,
              "How late the serving thread's timers fire.");
  text.Sample("", this->loop_lag);
}

void WriteLogMetrics(const CallJournal::Counts& calls,
                     telemetry::MetricText& text) {
  const auto losses = telemetry::LossesOfEventLog();
  text.Counter("log_calls_told_total", "Calls with all their lines in the log.",
               static_cast<double>(calls.calls_told));
  text.Counter("log_calls_not_told_total",
               "Calls without lines, since too many came.",
               static_cast<double>(calls.calls_not_told));
  text.Family("log_lines_lost_total", MetricType::kCounter,
              "Lines that were not written, by cause.");
  text.Sample(MetricLabel("cause", "call-rate"),
              static_cast<double>(calls.lines_suppressed));
  text.Sample(MetricLabel("cause", "event-rate"),
              static_cast<double>(losses.suppressed));
  text.Sample(MetricLabel("cause", "not-taken"),
              static_cast<double>(losses.dropped));
}

}  // namespace burdockwheel::host
