#include "stand_ins/soak/soak_plan.h"

#include <algorithm>
#include <array>
#include <random>

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;

// Before the first fault and after the last one.
constexpr milliseconds kCalmBegin{1500};
constexpr milliseconds kCalmEnd{8000};
constexpr milliseconds kMeanGap{900};  // between two faults that are drawn
constexpr milliseconds kShortest{300};
constexpr milliseconds kLongest{4500};
constexpr double kSeriesShare = 0.3;  // faults that come again at once
constexpr int kMostInSeries = 3;
constexpr int kFewestHosts = 3;
constexpr int kMostHosts = 7;
constexpr double kCallsPerHost = 30;  // a second

constexpr std::array<std::string_view, kSoakFaults> kNames = {
    "host-killed",         "hosts-killed",       "host-paused",
    "host-stopped",        "host-reloaded",      "callers-reset",
    "callers-delayed",     "peers-deaf",         "peers-delayed",
    "store-cut",           "store-deaf",         "store-down",
    "store-silent",        "store-slow",         "store-lapse",
    "store-forgets",       "worker-crashed",     "worker-slow",
    "worker-failing",      "worker-spoiling",    "worker-losing",
    "worker-link-reset",   "worker-link-silent", "worker-link-one-way",
    "worker-channel-dead", "worker-leaves",      "worker-removed",
    "route-moved",         "poisoned-call"};

// Every so many seeds there is planned work only, since a planned stop is
// judged only where nothing else disturbs it.
constexpr std::uint64_t kPlannedOnlyEvery = 4;
constexpr std::array kPlanned = {
    SoakFault::kHostStopped, SoakFault::kHostReloaded, SoakFault::kWorkerLeaves,
    SoakFault::kWorkerRemoved, SoakFault::kRouteMoved};

template <typename Number>
Number Draw(std::mt19937_64& random, Number least, Number most) {
  return std::uniform_int_distribution<Number>(least, most)(random);
}

SoakFault DrawFault(std::mt19937_64& random, bool is_planned_only) {
  if (!is_planned_only)
    return static_cast<SoakFault>(Draw(random, 0, kSoakFaults - 1));
  return kPlanned.at(Draw<std::size_t>(random, 0, kPlanned.size() - 1));
}

}  // namespace

std::string_view SoakFaultName(SoakFault fault) {
  return kNames.at(static_cast<std::size_t>(fault));
}

SoakPlan DrawSoakPlan(const SoakSettings& settings) {
  std::mt19937_64 random(settings.seed);
  SoakPlan plan;
  plan.failure_domains = Draw(random, 1, 3);
  plan.hosts = Draw(random, kFewestHosts, kMostHosts);
  if (settings.hosts > 0) plan.hosts = settings.hosts;
  plan.workers_per_service = Draw(random, 3, 5);
  plan.calls_per_second = kCallsPerHost * std::min(plan.hosts, kMostHosts);
  const auto end = settings.length - kCalmEnd;
  std::exponential_distribution<double> gap(
      1.0 / static_cast<double>(kMeanGap.count()));
  auto at = kCalmBegin;
  while (at < end) {
    SoakStep step;
    step.fault = DrawFault(random, settings.seed % kPlannedOnlyEvery == 0);
    step.target = random();
    const bool is_series = std::bernoulli_distribution(kSeriesShare)(random);
    const int times = is_series ? Draw(random, 2, kMostInSeries) : 1;
    auto next = at;
    for (int time = 0; time < times && next < end; ++time) {
      step.at = next;
      step.length =
          milliseconds(Draw(random, kShortest.count(), kLongest.count()));
      step.length = std::min(step.length, end - next);
      plan.steps.push_back(step);
      // The same part again soon after, or another one meanwhile.
      next += milliseconds(Draw(random, kShortest.count(), kLongest.count()));
      if (Draw(random, 0, 1) == 1) step.target = random();
    }
    at += milliseconds(static_cast<std::int64_t>(gap(random)) + 1);
  }
  std::ranges::stable_sort(plan.steps, {}, &SoakStep::at);
  return plan;
}

}  // namespace burdockwheel::stand_ins
