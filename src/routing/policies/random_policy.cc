// Sends a call to any worker, with a chance in proportion to its weight.
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>

#include "routing/routing_policy.h"

namespace burdockwheel::routing {

namespace {

class RandomPolicy : public RoutingPolicy {
 public:
  std::optional<std::size_t> Choose(kernel::Instant /*now*/,
                                    std::span<const WorkerView> eligible,
                                    std::mt19937_64& random) override {
    double sum = 0;
    for (const auto& worker : eligible) sum += worker.weight;
    double left = std::uniform_real_distribution<double>(0, sum)(random);
    for (std::size_t index = 0; index < eligible.size(); ++index) {
      left -= eligible[index].weight;
      if (left <= 0) return index;
    }
    if (eligible.empty()) return std::nullopt;
    return eligible.size() - 1;
  }
};

const RoutingPolicyRegistry::Registration kRegistration("random", [] {
  return std::make_unique<RandomPolicy>();
});

}  // namespace

}  // namespace burdockwheel::routing
