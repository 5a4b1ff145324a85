#include "routing/service_router.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::routing {

// FIXME: This first version chooses at random among the workers that neither
// drain nor exceed the connection limit; standing and policies are missing.
ServiceRouter::ServiceRouter(model::FailureDomain own_domain)
    : own_domain(std::move(own_domain)) {}

void ServiceRouter::UpdateDefinition(kernel::Instant /*now*/,
                                     const model::ServiceDefinition& definition,
                                     int most_entry_hosts) {
  this->most_own_in_flight = std::max(
      1, definition.worker_connections / std::max(1, most_entry_hosts));
}

void ServiceRouter::UpdateWorkers(
    kernel::Instant /*now*/, const std::vector<model::WorkerRecord>& listed) {
  for (auto& worker : this->workers) worker.is_draining = true;
  for (const auto& record : listed) {
    Worker* known = this->FindOrNull(record.address);
    if (known == nullptr) known = &this->workers.emplace_back();
    known->record = record;
    known->is_draining = record.state == model::WorkerState::kLeaving;
  }
  std::erase_if(this->workers, [](const Worker& worker) {
    return worker.is_draining && worker.own_in_flight == 0;
  });
}

std::optional<model::WorkerAddress> ServiceRouter::Choose(
    kernel::Instant /*now*/, const std::vector<model::WorkerAddress>& excluded,
    std::mt19937_64& random) {
  std::vector<const Worker*> eligible;
  for (const auto& worker : this->workers) {
    if (!this->MayTakeCall(worker)) continue;
    if (std::ranges::count(excluded, worker.record.address) > 0) continue;
    eligible.push_back(&worker);
  }
  if (eligible.empty()) return std::nullopt;
  std::uniform_int_distribution<std::size_t> index(0, eligible.size() - 1);
  return eligible[index(random)]->record.address;
}

bool ServiceRouter::HasWorkers() const {
  return !std::ranges::all_of(this->workers, &Worker::is_draining);
}

bool ServiceRouter::HasRoom(kernel::Instant /*now*/) const {
  return std::ranges::any_of(this->workers, [this](const Worker& worker) {
    return this->MayTakeCall(worker);
  });
}

void ServiceRouter::AttemptStarted(kernel::Instant /*now*/,
                                   const model::WorkerAddress& address,
                                   model::AttemptId /*attempt*/) {
  Worker* worker = this->FindOrNull(address);
  if (worker == nullptr) return;
  worker->own_in_flight += 1;
}

void ServiceRouter::AttemptEnded(kernel::Instant /*now*/,
                                 const model::WorkerAddress& address,
                                 model::AttemptId /*attempt*/,
                                 const model::AttemptOutcome& outcome) {
  Worker* worker = this->FindOrNull(address);
  if (worker == nullptr) return;
  worker->own_in_flight -= 1;
  if (outcome.report && outcome.report->is_draining) worker->is_draining = true;
}

std::vector<model::WorkerAddress> ServiceRouter::TakeWantedProbes(
    kernel::Instant /*now*/, std::mt19937_64& /*random*/) {
  return {};
}

void ServiceRouter::ObserveProbe(kernel::Instant /*now*/,
                                 const model::WorkerAddress& address,
                                 const model::WorkerReport& report,
                                 std::chrono::nanoseconds /*latency*/) {
  Worker* worker = this->FindOrNull(address);
  if (worker == nullptr) return;
  if (report.is_draining) worker->is_draining = true;
}

std::vector<StandingChange> ServiceRouter::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::optional<kernel::Instant> ServiceRouter::NextWake() const {
  return std::nullopt;
}

ServiceRouter::Worker* ServiceRouter::FindOrNull(
    const model::WorkerAddress& address) {
  const auto found =
      std::ranges::find_if(this->workers, [&address](const Worker& worker) {
        return worker.record.address == address;
      });
  return found == this->workers.end() ? nullptr : &*found;
}

bool ServiceRouter::MayTakeCall(const Worker& worker) const {
  return !worker.is_draining && worker.own_in_flight < this->most_own_in_flight;
}

}  // namespace burdockwheel::routing
