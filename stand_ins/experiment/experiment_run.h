// One run of an experiment: a load on a cluster while a case's events happen.
#pragma once

#include <chrono>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "stand_ins/load/load_plan.h"
#include "stand_ins/load/load_report.h"

namespace burdockwheel::stand_ins {

class Cluster;
struct ExperimentCase;

// The name under which the reference appears among the policies.
inline constexpr std::string_view kOraclePolicy = "oracle";

struct RunSettings {
  std::string policy;  // kOraclePolicy: straight to the best worker
  std::chrono::milliseconds length{5000};
  std::chrono::milliseconds warm_up{1000};
  std::uint64_t seed = 1;
};

struct RunResult {
  LoadReport load;
  nlohmann::json report;  // load, counts and costs, for the report file
};

// Publishes the policy, runs the load, and restores the cluster.
RunResult RunCase(Cluster& cluster, const ExperimentCase& experiment_case,
                  const RunSettings& settings);

}  // namespace burdockwheel::stand_ins
