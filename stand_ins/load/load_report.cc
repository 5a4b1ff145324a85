#include "stand_ins/load/load_report.h"

#include <nlohmann/json.hpp>

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;

double Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double, std::milli>(time).count();
}

Json HistogramJson(const LatencyHistogram& histogram) {
  return {
      {"count", histogram.Count()},
      {"mean_ms", Milliseconds(histogram.Mean())},
      {"p50_ms", Milliseconds(histogram.Quantile(0.5))},
      {"p90_ms", Milliseconds(histogram.Quantile(0.9))},
      {"p99_ms", Milliseconds(histogram.Quantile(0.99))},
      {"p99.9_ms", Milliseconds(histogram.Quantile(0.999))},
      {"max_ms", Milliseconds(histogram.Largest())},
  };
}

Json KindJson(const KindReport& kind, double seconds) {
  return {
      {"ok", HistogramJson(kind.ok)},
      {"all", HistogramJson(kind.all)},
      {"outcomes", kind.outcomes},
      {"offered_rate", static_cast<double>(kind.all.Count()) / seconds},
      {"ok_rate", static_cast<double>(kind.ok.Count()) / seconds},
  };
}

void MergeKind(const KindReport& from, KindReport* into) {
  into->ok.Merge(from.ok);
  into->all.Merge(from.all);
  for (const auto& [label, count] : from.outcomes)
    into->outcomes[label] += count;
}

}  // namespace

void LoadReport::Merge(const LoadReport& other) {
  this->kinds.resize(std::max(this->kinds.size(), other.kinds.size()));
  for (std::size_t kind = 0; kind < other.kinds.size(); ++kind)
    MergeKind(other.kinds[kind], &this->kinds[kind]);
  this->send_lag.Merge(other.send_lag);
  this->key_fetch.Merge(other.key_fetch);
  this->resends += other.resends;
  this->foreign_answers += other.foreign_answers;
  this->connections_opened += other.connections_opened;
  this->key_outcomes.insert(this->key_outcomes.end(),
                            other.key_outcomes.begin(),
                            other.key_outcomes.end());
}

Json ToJson(const LoadReport& report, const LoadPlan& plan) {
  const double seconds = std::chrono::duration<double>(plan.length).count();
  Json kinds = Json::object();
  KindReport total;
  for (std::size_t kind = 0; kind < report.kinds.size(); ++kind) {
    kinds[plan.kinds[kind].name] = KindJson(report.kinds[kind], seconds);
    MergeKind(report.kinds[kind], &total);
  }
  return {
      {"seed", plan.seed},
      {"rate", plan.rate},
      {"seconds", seconds},
      {"total", KindJson(total, seconds)},
      {"kinds", kinds},
      {"send_lag", HistogramJson(report.send_lag)},
      {"key_fetch", HistogramJson(report.key_fetch)},
      {"resends", report.resends},
      {"foreign_answers", report.foreign_answers},
      {"connections_opened", report.connections_opened},
      {"keyed_calls", report.key_outcomes.size()},
  };
}

}  // namespace burdockwheel::stand_ins
