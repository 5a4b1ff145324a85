// What a load generator has measured.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <string>
#include <vector>

#include "stand_ins/load/latency_histogram.h"
#include "stand_ins/load/load_plan.h"
#include "stand_ins/load/run_check.h"

namespace burdockwheel::stand_ins {

struct KindReport {
  LatencyHistogram ok;   // of calls that were answered whole
  LatencyHistogram all;  // of every call, however it ended
  std::map<std::string, std::int64_t, std::less<>> outcomes;
};

struct LoadReport {
  std::vector<KindReport> kinds;
  // How much later than intended calls were first sent by the generator.
  LatencyHistogram send_lag;
  LatencyHistogram key_fetch;
  std::int64_t resends = 0;
  std::int64_t foreign_answers = 0;
  std::int64_t connections_opened = 0;
  std::vector<KeyOutcome> key_outcomes;

  void Merge(const LoadReport& other);
};

nlohmann::json ToJson(const LoadReport& report, const LoadPlan& plan);

}  // namespace burdockwheel::stand_ins
