// The plug-ins that choose a worker for a call.
#pragma once

#include <chrono>
#include <cstddef>
#include <limits>
#include <optional>
#include <random>
#include <span>
#include <string_view>
#include <vector>

#include "kernel/instant.h"
#include "kernel/plugin_registry.h"
#include "model/attempt_outcome.h"
#include "routing/worker_view.h"

namespace burdockwheel::routing {

// The policy of a service whose definition names none.
constexpr std::string_view kDefaultRoutingPolicy = "expected-delay";

// Chooses among the workers of one service. Pure: time and random numbers come
// as arguments. One instance serves one service.
class RoutingPolicy {
 public:
  virtual ~RoutingPolicy() = default;

  // Returns the index of the chosen worker, or nothing if `eligible` is empty.
  virtual std::optional<std::size_t> Choose(
      kernel::Instant now, std::span<const WorkerView> eligible,
      std::mt19937_64& random) = 0;

  // Workers whose expected delay is more than this multiple of the least one
  // are not offered to Choose; a call rather waits for a better worker.
  virtual double MostDelayRatio() const {
    return std::numeric_limits<double>::infinity();
  }

  // Returns the workers whose load the policy wants measured now, at most
  // `most_probes`. Policies that need no probes return none.
  virtual std::vector<WorkerKey> WantedProbes(
      kernel::Instant /*now*/, std::span<const WorkerView> /*workers*/,
      std::size_t /*most_probes*/, std::mt19937_64& /*random*/) {
    return {};
  }

  // Takes the answer of a probe.
  virtual void ObserveProbe(kernel::Instant /*now*/, WorkerKey /*worker*/,
                            const model::WorkerReport& /*report*/,
                            std::chrono::nanoseconds /*latency*/) {}
};

using RoutingPolicyRegistry = kernel::PluginRegistry<RoutingPolicy>;

}  // namespace burdockwheel::routing
