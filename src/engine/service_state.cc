#include "engine/service_state.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

namespace burdockwheel::engine {

namespace {

// Hosts apply only these fractions of FleetRetryLimit's share and constant
// number. Each host counts only its own calls and learns late when hosts join
// or leave, so the margin keeps their sum within the limit.
constexpr double kFleetShareFraction = 0.9;
constexpr double kFleetSlackFraction = 0.6;
// Keeps room for at least one retry.
constexpr double kMinTokenCapacity = 1.0;

}  // namespace

std::chrono::nanoseconds KindState::HedgeDelay() const {
  const std::chrono::nanoseconds fixed = this->definition.hedge_after;
  if (!this->slow_latency.HasValue()) return fixed;
  return std::max(fixed, this->slow_latency.Value());
}

ServiceState::ServiceState(const EngineSettings& settings,
                           model::ServiceName name,
                           std::shared_ptr<routing::ProbeBudget> probe_budget)
    : name(std::move(name)),
      router(settings.failure_domain, std::move(probe_budget),
             settings.routing),
      fleet_retry(settings.fleet_retry),
      budget(settings.retry, model::ServiceDefinition().retry_share) {
  if (settings.hedge_limit) this->hedges.emplace(*settings.hedge_limit);
  this->queue.SetProtectionsForTest(settings.protections.queue);
  if (!settings.protections.has_retry_budget) this->budget.DisableForTest();
}

void ServiceState::Update(kernel::Instant now,
                          const model::ServiceDefinition& definition,
                          int most_entry_hosts,
                          AdmissionQueue::Calls& dropped) {
  this->router.UpdateDefinition(now, definition, most_entry_hosts);
  this->queue.Update(definition.queue, definition.kinds, dropped);
  this->budget.UpdateShare(definition.retry_share);
  this->UpdateHostCount(most_entry_hosts);
  std::unordered_map<std::string, std::shared_ptr<KindState>> old;
  for (auto& state : std::exchange(this->kinds, {}))
    old.emplace(state->definition.name, std::move(state));
  this->kinds.reserve(definition.kinds.size());
  for (const auto& kind : definition.kinds) {
    auto& state = old[kind.name];
    if (state == nullptr) state = std::make_shared<KindState>();
    state->definition = kind;
    state->index = this->kinds.size();
    this->kinds.push_back(state);
  }
}

void ServiceState::UpdateHostCount(int hosts) {
  this->router.UpdateHostCount(hosts);
  if (!this->fleet_retry) return;
  this->budget.UpdateShare(this->fleet_retry->share * kFleetShareFraction);
  this->budget.UpdateMaxTokens(std::max(
      kMinTokenCapacity,
      this->fleet_retry->slack * kFleetSlackFraction / std::max(1, hosts)));
}

std::shared_ptr<KindState> ServiceState::KindOrNull(std::size_t index) const {
  if (index >= this->kinds.size()) return nullptr;
  return this->kinds[index];
}

kernel::Instant ServiceState::NextWake(kernel::Instant now) const {
  const auto never = kernel::Instant::max();
  return std::min(this->queue.NextWake(now).value_or(never),
                  this->router.NextWake().value_or(never));
}

}  // namespace burdockwheel::engine
