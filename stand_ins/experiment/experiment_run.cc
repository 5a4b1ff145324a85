#include "stand_ins/experiment/experiment_run.h"

#include <atomic>
#include <thread>

#include "stand_ins/experiment/cluster.h"
#include "stand_ins/experiment/experiment_case.h"
#include "stand_ins/load/load_generator.h"

namespace burdockwheel::stand_ins {
namespace {

using Clock = std::chrono::steady_clock;
using Json = nlohmann::json;

// Lets a publication reach every host before the load begins.
constexpr std::chrono::milliseconds kPublicationTime{1500};
constexpr std::chrono::milliseconds kLookInterval{20};

// The crash path is one that no sound call uses.
std::string CrashPath(std::string pattern) {
  const std::size_t open = pattern.find('{');
  if (open == std::string::npos) return pattern;
  return pattern.replace(open, pattern.find('}') - open + 1, "crash");
}

void AddCrashingKind(const Deployment& deployment, double crashing_rate,
                     LoadPlan* plan) {
  if (crashing_rate <= 0) return;
  const DeployedService& service = deployment.services.front();
  LoadKind kind = plan->kinds.front();
  kind.name = "crashing";
  kind.path = CrashPath(service.kinds.front().path_pattern);
  kind.fields["X-Crash"] = "1";
  double shares = 0;
  for (const LoadKind& other : plan->kinds) shares += other.share;
  kind.share = shares * crashing_rate / plan->rate;
  plan->kinds.push_back(kind);
}

LoadPlan PlanOf(const Cluster& cluster, const ExperimentCase& experiment_case,
                const RunSettings& settings) {
  const Deployment& deployment = cluster.Options().deployment;
  const double rate = experiment_case.load *
                      deployment.Capacity(cluster.Options().mean_service_time);
  LoadPlan plan = DeploymentLoadPlan(deployment, cluster.Addresses(), rate);
  plan.seed = settings.seed;
  plan.length = settings.length;
  plan.warm_up = settings.warm_up;
  if (settings.policy == kOraclePolicy) plan.mode = LoadMode::kDirectOracle;
  AddCrashingKind(deployment, experiment_case.crashing_rate, &plan);
  return plan;
}

// Lets the events happen at their times and starts crashed workers anew, as the
// platform would, until the load has ended. Returns the number of crashes.
int FollowLoad(Cluster& cluster, const ExperimentCase& experiment_case,
               const RunSettings& settings,
               const std::atomic<bool>& has_ended) {
  const Clock::time_point start = Clock::now() + settings.warm_up;
  int crashes = 0;
  auto next = experiment_case.events.begin();
  while (!has_ended) {
    const double at = std::chrono::duration<double>(Clock::now() - start) /
                      std::chrono::duration<double>(settings.length);
    while (next != experiment_case.events.end() && next->at <= at) {
      next->act(cluster);
      ++next;
    }
    crashes += cluster.RestartEndedWorkers();
    std::this_thread::sleep_for(kLookInterval);
  }
  return crashes;
}

Json Difference(const MetricSums& before, const MetricSums& after) {
  Json difference = Json::object();
  for (const auto& [name, value] : after) {
    const auto earlier = before.find(name);
    const double change =
        value - (earlier == before.end() ? 0 : earlier->second);
    if (change != 0) difference[name] = change;
  }
  return difference;
}

Json Difference(const Json& before, const Json& after) {
  Json difference = Json::object();
  for (const auto& [name, value] : after.items()) {
    const auto number = value.get<std::int64_t>();
    const bool is_sum = !name.starts_with("most_") && name != "connections";
    difference[name] =
        is_sum ? number - before.value(name, std::int64_t{0}) : number;
  }
  return difference;
}

}  // namespace

RunResult RunCase(Cluster& cluster, const ExperimentCase& experiment_case,
                  const RunSettings& settings) {
  const bool is_oracle = settings.policy == kOraclePolicy;
  if (!is_oracle) {
    const std::string policy =
        settings.policy == "default" ? "" : settings.policy;
    (void)cluster.TryPublish(policy);
    std::this_thread::sleep_for(kPublicationTime);
  }
  const LoadPlan plan = PlanOf(cluster, experiment_case, settings);
  const MetricSums metrics = cluster.CollectHostMetrics();
  const Json counts = cluster.CollectWorkerCounts();
  const ProcessUsage usage = cluster.CollectHostUsage();
  RunResult result;
  std::atomic<bool> has_ended{false};
  std::thread load([&] {
    result.load = RunLoad(plan);
    has_ended = true;
  });
  const int crashes = FollowLoad(cluster, experiment_case, settings, has_ended);
  load.join();
  const ProcessUsage usage_after = cluster.CollectHostUsage();
  result.report = {
      {"policy", settings.policy},
      {"seed", settings.seed},
      {"load", ToJson(result.load, plan)},
      {"worker_counts", Difference(counts, cluster.CollectWorkerCounts())},
      {"host_metrics", Difference(metrics, cluster.CollectHostMetrics())},
      {"host_cpu_ms", (usage_after.cpu - usage.cpu).count()},
      {"host_resident_bytes", usage_after.resident_bytes},
      {"worker_crashes", crashes},
  };
  RestoreCluster(cluster);
  return result;
}

}  // namespace burdockwheel::stand_ins
