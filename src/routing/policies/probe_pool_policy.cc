// Keeps a pool of probe answers and chooses by the hot-cold rule:
// B. Wydrowski et al., Load is not what you should balance: Introducing
// Prequal, NSDI 2024.
#include <algorithm>
#include <chrono>
#include <cstddef>
#include <memory>
#include <optional>
#include <random>
#include <span>
#include <vector>

#include "routing/routing_policy.h"

namespace burdockwheel::routing {

namespace {

constexpr std::size_t kMostEntries = 16;
constexpr int kMostUses = 20;
constexpr std::chrono::nanoseconds kMostAge = std::chrono::seconds(1);
// Workers above this quantile of requests in flight are hot (section 4).
constexpr double kHotQuantile = 0.75;

// One probe answer. Each use adds the call that it attracted.
struct Entry {
  WorkerKey worker = 0;
  int in_flight = 0;
  std::chrono::nanoseconds latency{0};
  kernel::Instant received_at;
  int uses = 0;
};

class ProbePoolPolicy : public RoutingPolicy {
 public:
  std::optional<std::size_t> Choose(kernel::Instant now,
                                    std::span<const WorkerView> eligible,
                                    std::mt19937_64& random) override {
    if (eligible.empty()) return std::nullopt;
    this->DropOld(now);
    this->RefreshLatencies(eligible);
    Entry* entry = this->BestOrNull(eligible);
    if (entry == nullptr) {
      std::uniform_int_distribution<std::size_t> any(0, eligible.size() - 1);
      return any(random);
    }
    const WorkerKey key = entry->worker;
    entry->in_flight += 1;
    entry->uses += 1;
    if (entry->uses >= kMostUses)
      this->pool.erase(this->pool.begin() + (entry - this->pool.data()));
    return IndexOf(key, eligible);
  }

  // The budget decides how often; the workers are drawn without replacement.
  std::vector<WorkerKey> WantedProbes(kernel::Instant /*now*/,
                                      std::span<const WorkerView> workers,
                                      std::size_t most_probes,
                                      std::mt19937_64& random) override {
    std::vector<WorkerKey> keys;
    keys.reserve(workers.size());
    for (const auto& worker : workers) keys.push_back(worker.key);
    std::ranges::shuffle(keys, random);
    keys.resize(std::min(keys.size(), most_probes));
    return keys;
  }

  void ObserveProbe(kernel::Instant now, WorkerKey worker,
                    const model::WorkerReport& report,
                    std::chrono::nanoseconds /*latency*/) override {
    std::erase_if(this->pool, [worker](const Entry& entry) {
      return entry.worker == worker;
    });
    if (this->pool.size() >= kMostEntries) this->pool.erase(this->pool.begin());
    const int in_flight = report.calls_in_flight + report.calls_queued;
    this->pool.push_back({worker, in_flight, {}, now, 0});
  }

 private:
  static std::optional<std::size_t> IndexOf(
      WorkerKey key, std::span<const WorkerView> eligible) {
    for (std::size_t index = 0; index < eligible.size(); ++index)
      if (eligible[index].key == key) return index;
    return std::nullopt;
  }

  void DropOld(kernel::Instant now) {
    std::erase_if(this->pool, [now](const Entry& entry) {
      return now - entry.received_at >= kMostAge;
    });
  }

  // A probe of this system tells no latency of calls: the host's own, smoothed,
  // stands in for it.
  void RefreshLatencies(std::span<const WorkerView> eligible) {
    for (auto& entry : this->pool) {
      const auto index = IndexOf(entry.worker, eligible);
      if (index) entry.latency = eligible[*index].service_time;
    }
  }

  // Returns the cold entry of least latency, or if all are hot the one with the
  // fewest calls in flight.
  Entry* BestOrNull(std::span<const WorkerView> eligible) {
    std::vector<int> loads;
    loads.reserve(this->pool.size());
    for (const auto& entry : this->pool) loads.push_back(entry.in_flight);
    if (loads.empty()) return nullptr;
    const auto quantile =
        loads.begin() +
        static_cast<std::ptrdiff_t>(kHotQuantile *
                                    static_cast<double>(loads.size() - 1));
    std::ranges::nth_element(loads, quantile);
    Entry* best = nullptr;
    for (auto& entry : this->pool) {
      if (!IndexOf(entry.worker, eligible)) continue;
      if (best == nullptr || IsBetter(entry, *best, *quantile)) best = &entry;
    }
    return best;
  }

  static bool IsBetter(const Entry& entry, const Entry& best, int hot_above) {
    const bool is_hot = entry.in_flight > hot_above;
    const bool is_best_hot = best.in_flight > hot_above;
    if (is_hot != is_best_hot) return is_best_hot;
    if (is_hot) return entry.in_flight < best.in_flight;
    if (entry.latency != best.latency) return entry.latency < best.latency;
    return entry.in_flight < best.in_flight;
  }

  std::vector<Entry> pool;
};

const RoutingPolicyRegistry::Registration kRegistration("probe-pool", [] {
  return std::make_unique<ProbePoolPolicy>();
});

}  // namespace

}  // namespace burdockwheel::routing
