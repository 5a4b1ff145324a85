#include "host/serving_metrics.h"

#include <string_view>

namespace burdockwheel::host {

namespace {

void AppendCounter(std::string_view name, std::string_view labels,
                   std::uint64_t value, std::string& text) {
  text.append("burdockwheel_").append(name).append(labels).append(" ");
  text.append(std::to_string(value)).append("\n");
}

}  // namespace

std::string ServingMetrics::AsPrometheus() const {
  std::string text;
  AppendCounter("calls_arrived_total", "", this->calls_arrived, text);
  AppendCounter("calls_answered_total", "", this->calls_answered, text);
  AppendCounter("calls_abandoned_total", "", this->calls_abandoned, text);
  for (const auto& [reason, count] : this->calls_refused) {
    const auto labels = "{reason=\"" + reason + "\"}";
    AppendCounter("calls_refused_total", labels, count, text);
  }
  AppendCounter("attempts_started_total", "", this->attempts_started, text);
  AppendCounter("attempts_cancelled_total", "", this->attempts_cancelled, text);
  AppendCounter("attempts_crossing_domains_total", "",
                this->attempts_crossing_domains, text);
  AppendCounter("probes_sent_total", "", this->probes_sent, text);
  AppendCounter("probe_bytes_total", "", this->probe_bytes, text);
  this->call_latency.AppendPrometheus("burdockwheel_call_seconds", "", text);
  this->added_latency.AppendPrometheus("burdockwheel_added_seconds", "", text);
  return text;
}

}  // namespace burdockwheel::host
