// Sends a call to the worker whose answer is expected to be worth most.
#include <algorithm>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <string>

#include "routing/durations.h"
#include "routing/routing_policy.h"

namespace burdockwheel::routing {

namespace {

// Chance moves each worth by up to this, so that hosts with the same beliefs do
// not choose alike.
constexpr double kWorthNoise = 0.02;
// A worker with all slots taken is worth so much less than an idle one, since
// load that this host has not heard of yet comes on top.
constexpr double kLoadPrice = 0.05;
// Among workers that all meet the objective the sooner answer is better by this
// for each second.
constexpr double kDelayPrice = 0.05;

// The share of the calls that disregard what a new connection costs, so that
// workers that have just joined get calls too.
constexpr double kBlindShare = 0.05;

// Looks at all workers of the service.
class ExpectedWorthPolicy : public RoutingPolicy {
 public:
  std::optional<std::size_t> Choose(kernel::Instant /*now*/,
                                    std::span<const WorkerView> eligible,
                                    std::mt19937_64& random) override {
    std::uniform_real_distribution<double> noise(0, kWorthNoise);
    const bool is_blind = std::bernoulli_distribution(kBlindShare)(random);
    std::optional<std::size_t> best;
    double most = 0;
    for (std::size_t index = 0; index < eligible.size(); ++index) {
      const auto& worker = eligible[index];
      const double load = worker.expected_load / std::max(1, worker.slots);
      const double worth = worker.expected_worth - kLoadPrice * load -
                           kDelayPrice * Seconds(worker.expected_delay) -
                           (is_blind ? 0 : worker.connection_cost) +
                           noise(random);
      if (best && worth <= most) continue;
      best = index;
      most = worth;
    }
    return best;
  }
};

const RoutingPolicyRegistry::Registration kRegistration("expected-worth", [] {
  return std::make_unique<ExpectedWorthPolicy>();
});

}  // namespace

}  // namespace burdockwheel::routing
