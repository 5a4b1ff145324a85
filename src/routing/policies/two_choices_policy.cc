// Draws two workers and takes the one with fewer own calls in flight:
// M. Mitzenmacher, The Power of Two Choices in Randomized Load Balancing, 2001.
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>

#include "routing/routing_policy.h"

namespace burdockwheel::routing {

namespace {

// A worker in a cold start looks busier by its lesser weight.
double WeightedCalls(const WorkerView& worker) {
  return (worker.own_in_flight + 1) / worker.weight;
}

class TwoChoicesPolicy : public RoutingPolicy {
 public:
  std::optional<std::size_t> Choose(kernel::Instant /*now*/,
                                    std::span<const WorkerView> eligible,
                                    std::mt19937_64& random) override {
    if (eligible.empty()) return std::nullopt;
    if (eligible.size() == 1) return 0;
    std::uniform_int_distribution<std::size_t> any(0, eligible.size() - 1);
    std::uniform_int_distribution<std::size_t> any_other(0,
                                                         eligible.size() - 2);
    const std::size_t first = any(random);
    std::size_t second = any_other(random);
    if (second >= first) ++second;
    const bool is_second_better =
        WeightedCalls(eligible[second]) < WeightedCalls(eligible[first]);
    return is_second_better ? second : first;
  }
};

const RoutingPolicyRegistry::Registration kRegistration("two-choices", [] {
  return std::make_unique<TwoChoicesPolicy>();
});

}  // namespace

}  // namespace burdockwheel::routing
