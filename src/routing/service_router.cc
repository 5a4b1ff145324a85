#include "routing/service_router.h"

#include <algorithm>
#include <limits>
#include <utility>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

constexpr std::chrono::nanoseconds kProbeLookGap =
    std::chrono::milliseconds(10);

// Each look at the load goes over all workers, and reports on hundreds of them
// arrive several times a second.
constexpr std::chrono::nanoseconds kLoadObserveGap =
    std::chrono::milliseconds(20);

// Workers that are found listed when the host starts need no ramp, nor do those
// whose record tells how long they are cold.
bool IsEstablished(const model::WorkerRecord& record, bool has_list) {
  return !has_list || record.warm_up.has_value();
}

}  // namespace

ServiceRouter::ServiceRouter(model::FailureDomain own_domain,
                             std::shared_ptr<ProbeBudget> probe_budget,
                             const RouterSettings& settings)
    : settings(std::make_unique<const RouterSettings>(settings)),
      noise(std::make_unique<NoiseModel>()),
      crowding(std::make_unique<CrowdingModel>()),
      probe_budget(std::move(probe_budget)),
      crossing(this->settings->crossing) {
  this->context.own_domain = std::move(own_domain);
  this->context.noise = this->noise.get();
  this->context.crowding = this->crowding.get();
  if (this->probe_budget == nullptr)
    this->probe_budget = std::make_shared<ProbeBudget>();
  this->policy = RoutingPolicyRegistry::CreateOrNull(kDefaultRoutingPolicy);
  this->policy_name = kDefaultRoutingPolicy;
}

void ServiceRouter::UpdateDefinition(kernel::Instant /*now*/,
                                     const model::ServiceDefinition& definition,
                                     int most_entry_hosts) {
  this->context.worker_slots = std::max(1, definition.worker_slots);
  this->context.most_entry_hosts = std::max(1, most_entry_hosts);
  this->context.most_own_in_flight = std::max(
      1, definition.worker_connections / std::max(1, most_entry_hosts));
  this->context.is_local_preferred = definition.locality.is_local_preferred;
  this->context.crossing_cost = definition.locality.crossing_cost;
  this->context.crossing_price = definition.locality.crossing_price;
  this->context.connection_price = definition.connection_price;
  const auto& warm_up = this->settings->warm_up;
  const bool is_bounded = this->warm_up_shares != nullptr &&
                          warm_up.excess > 0 &&
                          definition.warm_up.calls_per_second > 0;
  const double most_cold_calls =
      definition.warm_up.calls_per_second * warm_up.excess + warm_up.slack;
  this->context.max_cold_calls =
      is_bounded ? static_cast<int>(std::min<double>(
                       most_cold_calls, std::numeric_limits<int>::max()))
                 : 0;
  this->context.warm_up_duration = definition.warm_up.duration;
  std::string name = definition.routing_policy;
  if (!RoutingPolicyRegistry::IsRegistered(name)) name = kDefaultRoutingPolicy;
  if (name == this->policy_name) return;
  this->policy = RoutingPolicyRegistry::CreateOrNull(name);
  this->policy_name = std::move(name);
}

void ServiceRouter::SetWarmUpShares(
    std::shared_ptr<const WarmUpShares> shares) {
  this->warm_up_shares = std::move(shares);
  this->context.warm_up_shares = this->warm_up_shares.get();
}

int ServiceRouter::CountCold(kernel::Instant now) const {
  return static_cast<int>(
      std::ranges::count_if(this->workers, [this, now](const auto& worker) {
        return worker->IsCold(now, this->context);
      }));
}

void ServiceRouter::UpdateWorkers(
    kernel::Instant now, const std::vector<model::WorkerRecord>& listed) {
  RecordsById records;
  for (const auto& record : listed) records.emplace(record.id, &record);
  this->DropEndedLives(records);
  for (auto& worker : this->workers) {
    const auto found = records.find(worker->Record().id);
    if (found == records.end()) {
      worker->Standing().ObserveAbsent(now, this->changes);
      continue;
    }
    worker->UpdateRecord(now, *found->second, this->changes);
  }
  for (const auto& record : listed) {
    if (this->by_address.contains(record.id)) continue;
    auto& added = this->workers.emplace_back(std::make_unique<WorkerBelief>(
        now, ++this->last_key, record, IsEstablished(record, this->has_list),
        *this->settings));
    this->by_address.emplace(record.id, added.get());
    added->UpdateRecord(now, record, this->changes);
  }
  this->has_list = this->has_list || !listed.empty();
  std::erase_if(this->workers, [this, now](const auto& worker) {
    const bool is_gone =
        worker->OwnInFlight() == 0 &&
        worker->Standing().Drain().IsAbsentFor(now, this->MemoryOf(*worker));
    if (is_gone) this->by_address.erase(worker->Record().id);
    return is_gone;
  });
  this->RefreshTypical();
  this->HoldEjectionFloor(now);
  this->advance_at = now;
}

std::chrono::nanoseconds ServiceRouter::MemoryOf(
    const WorkerBelief& worker) const {
  const auto& rules = this->settings->drain;
  // Without an incarnation, absence is all that tells a new life.
  const bool is_leaving_life =
      worker.Standing().Drain().IsLeaving() && worker.Record().incarnation != 0;
  return is_leaving_life ? rules.leaving_memory : rules.shortest_absence;
}

void ServiceRouter::DropEndedLives(const RecordsById& records) {
  std::erase_if(this->workers, [this, &records](const auto& worker) {
    const auto found = records.find(worker->Record().id);
    if (found == records.end()) return false;
    if (found->second->incarnation == worker->Record().incarnation)
      return false;
    this->by_address.erase(worker->Record().id);
    return true;
  });
}

std::map<Standing, int> ServiceRouter::CountStandings() const {
  std::map<Standing, int> counts;
  for (const auto& worker : this->workers)
    counts[worker->Standing().State()] += 1;
  return counts;
}

std::string ServiceRouter::DescribeWorkers() const {
  std::string text = "workers=" + std::to_string(this->workers.size());
  for (const auto& [standing, count] : this->CountStandings()) {
    text.append(" ").append(StandingName(standing)).append("=");
    text.append(std::to_string(count));
  }
  const auto evacuated = std::ranges::count_if(
      this->workers,
      [](const auto& worker) { return worker->Record().is_evacuated; });
  if (evacuated > 0)
    text.append(" evacuated=").append(std::to_string(evacuated));
  return text;
}

bool ServiceRouter::IsOpen(const WorkerBelief& worker) {
  return !worker.Standing().Drain().IsDraining() &&
         !worker.Record().is_evacuated;
}

double ServiceRouter::CountSlots() const {
  const auto in_use = std::ranges::count_if(
      this->workers,
      [](const auto& worker) { return !worker->Record().is_evacuated; });
  return static_cast<double>(in_use) * this->context.worker_slots;
}

bool ServiceRouter::HasWorkers() const {
  return std::ranges::any_of(
      this->workers, [](const auto& worker) { return IsOpen(*worker); });
}

bool ServiceRouter::HasEvacuatedWorkers() const {
  return std::ranges::any_of(this->workers, [](const auto& worker) {
    return worker->Record().is_evacuated &&
           !worker->Standing().Drain().IsDraining();
  });
}

void ServiceRouter::AttemptStarted(kernel::Instant now,
                                   const model::WorkerId& address,
                                   model::AttemptId attempt) {
  WorkerBelief* worker = this->FindOrNull(address);
  if (worker == nullptr) return;
  worker->AttemptStarted(now, attempt, this->context);
}

std::optional<std::chrono::nanoseconds> ServiceRouter::AttemptEnded(
    kernel::Instant now, const model::WorkerId& address,
    model::AttemptId attempt, const model::AttemptOutcome& outcome) {
  WorkerBelief* worker = this->FindOrNull(address);
  if (worker == nullptr) return std::nullopt;
  const bool is_failure = outcome.result != model::AttemptResult::kAnswered ||
                          outcome.status >= 500;
  const double peers = is_failure ? this->PeersFailureShare(*worker) : 0;
  const bool may_eject = is_failure && this->MayEject();
  const auto undisturbed =
      worker->AttemptEnded(now, attempt, outcome, this->context, peers,
                           may_eject, this->jitter, this->changes);
  this->RefreshTypical();
  this->ObserveLoad(now);
  this->advance_at = now;
  return undisturbed;
}

std::vector<model::WorkerId> ServiceRouter::TakeWantedProbes(
    kernel::Instant now, std::mt19937_64& random) {
  std::vector<model::WorkerId> wanted;
  if (now < this->probes_wanted_at) return wanted;
  const int available = this->probe_budget->Available(now);
  if (available < 1) return wanted;
  for (auto& worker : this->workers) {
    if (worker->Record().is_evacuated) continue;
    const auto recheck = worker->Standing().Drain().RecheckAt();
    if (!recheck || *recheck > now) continue;
    if (!this->probe_budget->TrySpend(now)) return wanted;
    worker->Standing().NoteRecheck(now);
    wanted.push_back(worker->Record().id);
  }
  std::vector<Candidate> measurable;
  this->FillCandidates(now, {}, {}, measurable);
  std::vector<WorkerView> views;
  views.reserve(measurable.size());
  for (const auto& candidate : measurable) views.push_back(candidate.view);
  const auto keys = this->policy->WantedProbes(
      now, views, static_cast<std::size_t>(available), random);
  for (const auto& candidate : measurable) {
    if (std::ranges::count(keys, candidate.view.key) == 0) continue;
    if (!this->probe_budget->TrySpend(now)) return wanted;
    wanted.push_back(candidate.belief->Record().id);
  }
  if (wanted.empty()) this->probes_wanted_at = now + kProbeLookGap;
  return wanted;
}

void ServiceRouter::ObserveProbe(kernel::Instant now,
                                 const model::WorkerId& address,
                                 const model::WorkerReport& report,
                                 std::chrono::nanoseconds age) {
  WorkerBelief* worker = this->FindOrNull(address);
  if (worker == nullptr) return;
  worker->ObserveProbe(now, report, age, this->context, this->changes);
  this->policy->ObserveProbe(now, worker->Key(), report, age);
  this->ObserveLoad(now);
}

void ServiceRouter::ObserveNotice(kernel::Instant now,
                                  const model::WorkerId& address,
                                  const model::WorkerNotice& notice) {
  WorkerBelief* worker = this->FindOrNull(address);
  if (worker == nullptr) return;
  worker->Standing().ObserveNotice(now, notice, this->changes);
  this->advance_at = now;
}

std::optional<kernel::Instant> ServiceRouter::AllPausedUntil() const {
  std::optional<kernel::Instant> earliest;
  for (const auto& worker : this->workers) {
    if (!IsOpen(*worker)) continue;
    const auto until = worker->Standing().PausedUntil();
    if (!until) return std::nullopt;
    if (!earliest || *until < *earliest) earliest = until;
  }
  return earliest;
}

void ServiceRouter::AppendWatched(
    const model::ServiceName& service,
    std::vector<load::WatchedWorker>& watched) const {
  for (const auto& worker : this->workers) {
    // A probe is a request too.
    const auto state = worker->Standing().State();
    if (state == Standing::kDraining || state == Standing::kPaused) continue;
    if (worker->Record().is_evacuated) continue;
    load::WatchedWorker each;
    each.id = worker->Record().id;
    each.service = service;
    each.failure_domain = worker->Record().failure_domain;
    if (worker->Load().Report()) each.measured_at = worker->Load().ReportedAt();
    watched.push_back(std::move(each));
  }
}

std::vector<StandingChange> ServiceRouter::TakeChanges() {
  return std::exchange(this->changes, {});
}

std::optional<kernel::Instant> ServiceRouter::NextWake() const {
  auto wake = this->blocked_until;
  for (const auto& worker : this->workers) {
    const auto next = worker->Standing().NextWake();
    if (!next) continue;
    if (!wake || *next < *wake) wake = next;
  }
  return wake;
}

std::optional<Standing> ServiceRouter::StandingOf(
    const model::WorkerId& address) const {
  const auto found = this->by_address.find(address);
  if (found == this->by_address.end()) return std::nullopt;
  return found->second->Standing().State();
}

WorkerBelief* ServiceRouter::FindOrNull(const model::WorkerId& address) {
  const auto found = this->by_address.find(address);
  return found == this->by_address.end() ? nullptr : found->second;
}

void ServiceRouter::Advance(kernel::Instant now) {
  if (!this->advance_at || now < *this->advance_at) return;
  this->advance_at.reset();
  for (auto& worker : this->workers) {
    worker->Standing().Advance(now, this->changes);
    const auto next = worker->Standing().NextWake();
    if (!next || *next <= now) continue;
    if (!this->advance_at || *next < *this->advance_at) this->advance_at = next;
  }
}

void ServiceRouter::RefreshTypical() {
  auto& times = this->service_times;
  times.clear();
  double others = 0;
  int reporting = 0;
  for (const auto& worker : this->workers) {
    if (!worker->Standing().TakesCalls()) continue;
    const auto time = worker->Speed().ServiceTime();
    if (time.count() > 0) times.push_back(time);
    if (!worker->Load().Report()) continue;
    others += worker->Load().MeanOthers();
    ++reporting;
  }
  this->context.typical_others = reporting > 0 ? others / reporting : 0;
  if (times.empty()) return;
  const auto middle =
      times.begin() + static_cast<std::ptrdiff_t>((times.size() - 1) / 2);
  std::ranges::nth_element(times, middle);
  this->context.typical_service_time = *middle;
}

int ServiceRouter::OwnInFlight() const {
  int own_in_flight = 0;
  for (const auto& worker : this->workers)
    own_in_flight += worker->OwnInFlight();
  return own_in_flight;
}

void ServiceRouter::ObserveLoad(kernel::Instant now) {
  if (!this->settings->is_in_flight_limited) return;
  if (now - this->load_observed_at < kLoadObserveGap) return;
  this->load_observed_at = now;
  double calls = 0;
  double slots = 0;
  for (const auto& worker : this->workers) {
    const auto& report = worker->Load().Report();
    if (!report || !worker->Standing().TakesCalls()) continue;
    if (worker->Record().is_evacuated) continue;
    if (now - worker->Load().ReportedAt() > this->settings->load_memory)
      continue;
    calls += report->calls_in_flight + report->calls_queued;
    slots += worker->Slots(this->context);
  }
  this->mean_load = slots > 0 ? calls / slots : 0;
  const auto service_time = this->context.typical_service_time;
  if (slots == 0 || service_time.count() == 0) return;
  ServiceLoad load;
  load.mean = calls / slots;
  load.target = this->crowding->TargetLoad();
  load.harmful =
      1 + this->settings->harmful_wait_share * Ratio(this->slack, service_time);
  this->in_flight_limit.Observe(now, load, this->OwnInFlight());
}

bool ServiceRouter::IsWithinLimit() const {
  if (!this->in_flight_limit.IsLimiting()) return true;
  return this->in_flight_limit.HasRoom(this->OwnInFlight(),
                                       this->CountSlots() / this->host_count);
}

bool ServiceRouter::MayEject() const {
  const auto& rules = this->settings->standing;
  if (!rules.is_floor_held) return true;
  int all = 0;
  int out = 0;
  for (const auto& worker : this->workers) {
    if (!IsOpen(*worker)) continue;
    ++all;
    if (!worker->Standing().TakesCalls()) ++out;
  }
  return out + 1 <= all * rules.most_ejected_share;
}

void ServiceRouter::HoldEjectionFloor(kernel::Instant now) {
  const auto& rules = this->settings->standing;
  if (!rules.is_floor_held) return;
  int all = 0;
  int out = 0;
  for (const auto& worker : this->workers) {
    if (!IsOpen(*worker)) continue;
    ++all;
    if (!worker->Standing().TakesCalls()) ++out;
  }
  for (auto& worker : this->workers) {
    if (out <= all * rules.most_ejected_share) return;
    if (worker->Standing().State() != Standing::kEjected) continue;
    if (worker->Record().is_evacuated) continue;
    worker->Standing().Readmit(now, this->changes);
    --out;
  }
}

double ServiceRouter::PeersFailureShare(const WorkerBelief& worker) const {
  double sum = 0;
  int count = 0;
  for (const auto& other : this->workers) {
    if (other.get() == &worker || !other->Standing().TakesCalls()) continue;
    sum += other->Standing().FailureShare();
    ++count;
  }
  return count > 0 ? sum / count : 0;
}

}  // namespace burdockwheel::routing
