// Sends a call to the worker that is expected to answer it first.
#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "routing/routing_policy.h"

namespace burdockwheel::routing {

namespace {

// The share of a delay by which chance moves it, so that hosts with the same
// beliefs do not choose alike.
constexpr double kDelayNoise = 0.1;
constexpr double kMostDelayRatio = 3.0;
// Crossing a failure domain is dear, for probes too.
constexpr std::chrono::nanoseconds kStaleReport = std::chrono::seconds(1);
constexpr std::chrono::nanoseconds kStaleRemoteReport =
    std::chrono::seconds(20);

// Looks at all workers of the service.
class ExpectedDelayPolicy : public RoutingPolicy {
 public:
  std::optional<std::size_t> Choose(kernel::Instant /*now*/,
                                    std::span<const WorkerView> eligible,
                                    std::mt19937_64& random) override {
    std::uniform_real_distribution<double> noise(1, 1 + kDelayNoise);
    std::optional<std::size_t> best;
    double least = 0;
    for (std::size_t index = 0; index < eligible.size(); ++index) {
      const auto delay = eligible[index].expected_delay.count();
      const double noisy = static_cast<double>(delay) * noise(random);
      if (best && noisy >= least) continue;
      best = index;
      least = noisy;
    }
    return best;
  }

  double MostDelayRatio() const override { return kMostDelayRatio; }

  std::vector<WorkerKey> WantedProbes(kernel::Instant now,
                                      std::span<const WorkerView> workers,
                                      std::size_t most_probes,
                                      std::mt19937_64& /*random*/) override {
    std::vector<WorkerKey> wanted;
    for (const auto& worker : workers) {
      if (wanted.size() >= most_probes) break;
      const auto stale = worker.is_local ? kStaleReport : kStaleRemoteReport;
      if (worker.report && now - worker.reported_at < stale) continue;
      if (this->WasProbedLately(now, worker.key)) continue;
      wanted.push_back(worker.key);
    }
    return wanted;
  }

 private:
  struct Probed {
    WorkerKey key = 0;
    kernel::Instant at;
  };

  // Notes the probe if there was none lately.
  bool WasProbedLately(kernel::Instant now, WorkerKey key) {
    std::erase_if(this->probed, [now](const Probed& each) {
      return now - each.at >= kStaleReport;
    });
    if (std::ranges::count(this->probed, key, &Probed::key) > 0) return true;
    this->probed.push_back({key, now});
    return false;
  }

  std::vector<Probed> probed;
};

const RoutingPolicyRegistry::Registration kRegistration(
    std::string(kDefaultRoutingPolicy),
    [] { return std::make_unique<ExpectedDelayPolicy>(); });

}  // namespace

}  // namespace burdockwheel::routing
