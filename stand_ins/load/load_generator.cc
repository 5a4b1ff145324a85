#include "stand_ins/load/load_generator.h"

#include <chrono>
#include <deque>
#include <optional>
#include <thread>
#include <vector>

#include "stand_ins/load/load_lane.h"
#include "stand_ins/load/oracle_poller.h"
#include "stand_ins/load/oracle_view.h"

namespace burdockwheel::stand_ins {
namespace {

// Lets every thread be ready before the first call is due.
constexpr std::chrono::milliseconds kStartDelay{50};

}  // namespace

LoadReport RunLoad(const LoadPlan& plan) {
  const bool has_oracle = plan.mode == LoadMode::kDirectOracle;
  OracleView view(plan.workers);
  std::optional<OraclePoller> poller;
  if (has_oracle) poller.emplace(plan.workers, view);
  std::deque<LoadLane> lanes;
  for (int lane = 0; lane < plan.threads; ++lane)
    lanes.emplace_back(plan, lane, has_oracle ? &view : nullptr);
  const auto start = std::chrono::steady_clock::now() + kStartDelay;
  std::vector<std::thread> threads;
  threads.reserve(lanes.size());
  for (LoadLane& lane : lanes)
    threads.emplace_back([&lane, start] { lane.Run(start); });
  for (std::thread& thread : threads) thread.join();
  LoadReport report;
  for (const LoadLane& lane : lanes) report.Merge(lane.Report());
  return report;
}

}  // namespace burdockwheel::stand_ins
