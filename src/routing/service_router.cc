#include "routing/service_router.h"

#include <algorithm>
#include <utility>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

constexpr std::chrono::nanoseconds kShortestBlock =
    std::chrono::milliseconds(1);
constexpr std::chrono::nanoseconds kLongestBlock =
    std::chrono::milliseconds(50);
constexpr std::chrono::nanoseconds kProbeLookGap =
    std::chrono::milliseconds(10);

// A gain below this is not worth looking for.
constexpr double kLeastGain = 0.1;

// Workers that are found listed when the host starts need no ramp, nor do those
// whose record tells how long they are cold.
bool IsEstablished(const model::WorkerRecord& record, bool has_list) {
  return !has_list || record.warm_up.has_value();
}

double UniformDraw(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

ServiceRouter::ServiceRouter(model::FailureDomain own_domain,
                             std::shared_ptr<ProbeBudget> probe_budget,
                             const RouterSettings& settings)
    : settings(std::make_unique<const RouterSettings>(settings)),
      noise(std::make_unique<NoiseModel>()),
      probe_budget(std::move(probe_budget)),
      crossing(this->settings->crossing) {
  this->context.own_domain = std::move(own_domain);
  this->context.noise = this->noise.get();
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
  std::string name = definition.routing_policy;
  if (!RoutingPolicyRegistry::IsRegistered(name)) name = kDefaultRoutingPolicy;
  if (name == this->policy_name) return;
  this->policy = RoutingPolicyRegistry::CreateOrNull(name);
  this->policy_name = std::move(name);
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
    const bool is_gone = worker->OwnInFlight() == 0 &&
                         worker->Standing().Drain().IsAbsentFor(
                             now, this->settings->drain.shortest_absence);
    if (is_gone) this->by_address.erase(worker->Record().id);
    return is_gone;
  });
  this->RefreshTypical();
  this->HoldEjectionFloor(now);
  this->advance_at = now;
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

std::optional<model::WorkerId> ServiceRouter::Choose(
    kernel::Instant now, const std::vector<model::WorkerId>& excluded,
    std::mt19937_64& random, bool may_explore, const CallDemand& demand) {
  this->Advance(now);
  this->jitter = 2 * UniformDraw(random) - 1;
  this->blocked_until.reset();
  if (excluded.empty()) {
    WorkerBelief* explored =
        may_explore ? this->ExplorableOrNull(now) : nullptr;
    if (explored != nullptr) {
      explored->Standing().NoteExploring(now, this->jitter);
      this->calls_since_exploring = 0;
      this->probe_budget->CallStarted();
      this->NoteChoice(now, explored->View(now, this->context, demand), 1,
                       true);
      return explored->Record().id;
    }
  }
  this->FillCandidates(now, excluded, demand, this->candidates);
  this->DropNotWorthwhile(this->candidates);
  if (this->candidates.empty()) return this->Blocked(now);
  if (!this->ChooseSide(now, demand)) return this->Blocked(now);
  this->offered.clear();
  for (const auto& candidate : this->candidates)
    this->offered.push_back(candidate.view);
  const auto index = this->policy->Choose(now, this->offered, random);
  if (!index) return this->Blocked(now);
  this->crossing.NoteStarted(now);
  if (excluded.empty()) {
    this->probe_budget->CallStarted();
    ++this->calls_since_exploring;
  }
  this->NoteChoice(now, this->offered[*index], this->offered.size(), false);
  return this->candidates[*index].belief->Record().id;
}

void ServiceRouter::NoteChoice(kernel::Instant now, const WorkerView& view,
                               std::size_t candidate_count, bool is_trial) {
  auto& choice = this->last_choice;
  choice.candidates = static_cast<int>(candidate_count);
  choice.is_trial = is_trial;
  choice.is_local = view.is_local;
  choice.slots = view.slots;
  choice.own_in_flight = view.own_in_flight;
  choice.expected_load = view.expected_load;
  choice.expected_worth = view.expected_worth;
  choice.expected_delay = view.expected_delay;
  choice.slowdown.reset();
  choice.report_age.reset();
  if (!view.report) return;
  choice.slowdown = view.report->slowdown;
  choice.report_age = now - view.reported_at;
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
  return text;
}

double ServiceRouter::GainOfSecond(kernel::Instant now,
                                   const model::WorkerId& address,
                                   model::AttemptId attempt,
                                   const std::vector<model::WorkerId>& excluded,
                                   const CallDemand& demand) {
  const WorkerBelief* worker = this->FindOrNull(address);
  const double staying =
      worker == nullptr
          ? 0
          : worker->WorthOfStaying(now, attempt, this->context, demand);
  // No other worker can be worth more than everything.
  if (1 - staying < kLeastGain) return 0;
  this->FillCandidates(now, excluded, demand, this->candidates);
  this->DropNotWorthwhile(this->candidates);
  double best = 0;
  for (const auto& candidate : this->candidates) {
    double worth = candidate.view.expected_worth;
    if (!candidate.view.is_local)
      worth -= this->context.crossing_price / std::max(demand.weight, 1.0);
    best = std::max(best, worth);
  }
  return best * (1 - staying);
}

bool ServiceRouter::HasWorkers() const {
  return std::ranges::any_of(this->workers, [](const auto& worker) {
    return !worker->Standing().Drain().IsDraining();
  });
}

bool ServiceRouter::HasRoom(kernel::Instant now) const {
  std::vector<Candidate> found;
  this->FillCandidates(now, {}, {}, found);
  this->DropNotWorthwhile(found);
  return !found.empty();
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
}

void ServiceRouter::AppendWatched(
    const model::ServiceName& service,
    std::vector<load::WatchedWorker>& watched) const {
  for (const auto& worker : this->workers) {
    if (worker->Standing().Drain().IsDraining()) continue;
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

bool ServiceRouter::MayEject() const {
  const auto& rules = this->settings->standing;
  if (!rules.is_floor_held) return true;
  int all = 0;
  int out = 0;
  for (const auto& worker : this->workers) {
    if (worker->Standing().Drain().IsDraining()) continue;
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
    if (worker->Standing().Drain().IsDraining()) continue;
    ++all;
    if (!worker->Standing().TakesCalls()) ++out;
  }
  for (auto& worker : this->workers) {
    if (out <= all * rules.most_ejected_share) return;
    if (worker->Standing().State() != Standing::kEjected) continue;
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

WorkerBelief* ServiceRouter::ExplorableOrNull(kernel::Instant now) {
  for (auto& worker : this->workers) {
    if (worker->OwnInFlight() > 0) continue;
    const bool is_wanted =
        worker->Standing().WantsExploring(now, this->calls_since_exploring);
    if (is_wanted) return worker.get();
  }
  return nullptr;
}

bool ServiceRouter::MayAsk() const {
  int own_in_flight = 0;
  for (const auto& worker : this->workers)
    own_in_flight += worker->OwnInFlight();
  const double all_slots =
      static_cast<double>(this->workers.size()) * this->context.worker_slots;
  const double share =
      this->settings->asking_share * all_slots / this->context.most_entry_hosts;
  return own_in_flight < std::max(1.0, share);
}

void ServiceRouter::FillCandidates(kernel::Instant now,
                                   const std::vector<model::WorkerId>& excluded,
                                   const CallDemand& demand,
                                   std::vector<Candidate>& found) const {
  found.clear();
  found.reserve(this->workers.size());
  const bool may_ask = this->MayAsk();
  for (const auto& worker : this->workers) {
    if (!worker->Standing().TakesCalls()) continue;
    if (std::ranges::count(excluded, worker->Record().id) > 0) continue;
    const auto view = worker->View(now, this->context, demand);
    const bool has_room = worker->HasRoom(now, view, this->context, may_ask);
    found.push_back({worker.get(), view, has_room});
  }
  const bool has_certain = std::ranges::any_of(found, [](const auto& each) {
    return each.has_room && !each.belief->Record().is_doubtful;
  });
  if (!has_certain) return;
  std::erase_if(found, [](const Candidate& each) {
    return each.belief->Record().is_doubtful;
  });
}

void ServiceRouter::DropNotWorthwhile(std::vector<Candidate>& found) const {
  if (found.empty()) return;
  const auto best = std::ranges::min_element(
      found, {}, [](const auto& each) { return each.view.expected_delay; });
  const double most = static_cast<double>(best->view.expected_delay.count()) *
                      this->policy->MostDelayRatio();
  std::erase_if(found, [most](const Candidate& each) {
    if (!each.has_room) return true;
    return static_cast<double>(each.view.expected_delay.count()) > most;
  });
}

bool ServiceRouter::ChooseSide(kernel::Instant now, const CallDemand& demand) {
  if (!this->context.is_local_preferred) return true;
  const WorkerView* best_local = nullptr;
  const WorkerView* best_remote = nullptr;
  for (const auto& candidate : this->candidates) {
    auto& best = candidate.view.is_local ? best_local : best_remote;
    if (best == nullptr || this->IsBetter(candidate.view, *best))
      best = &candidate.view;
  }
  if (best_remote == nullptr) {
    this->crossing.NoteLocal(now);
    return true;
  }
  const bool has_local = best_local != nullptr;
  const double advantage =
      this->CrossingAdvantage(best_local, *best_remote, demand);
  // Where crossing has a price and loads are measured in all domains, the worth
  // of each call decides; the governor guards those who know less.
  const bool is_priced = this->context.crossing_price > 0;
  const bool crosses = is_priced
                           ? advantage > 0
                           : this->crossing.MayCross(now, advantage, has_local);
  if (!crosses && !has_local) return false;
  std::erase_if(this->candidates, [crosses](const Candidate& candidate) {
    return candidate.view.is_local == crosses;
  });
  return true;
}

// Where crossing has a price, the worth of the answer decides, else the time to
// it.
bool ServiceRouter::IsBetter(const WorkerView& left,
                             const WorkerView& right) const {
  if (this->context.crossing_price > 0)
    return left.expected_worth > right.expected_worth;
  return left.expected_delay < right.expected_delay;
}

double ServiceRouter::CrossingAdvantage(const WorkerView* best_local,
                                        const WorkerView& best_remote,
                                        const CallDemand& demand) const {
  if (best_local == nullptr) return 1;
  if (this->context.crossing_price > 0) {
    const double gain = best_remote.expected_worth - best_local->expected_worth;
    return gain * demand.weight / this->context.crossing_price - 1;
  }
  if (this->context.crossing_cost.count() == 0) return 1;
  return Ratio(best_local->expected_delay - best_remote.expected_delay,
               this->context.crossing_cost);
}

std::optional<model::WorkerId> ServiceRouter::Blocked(kernel::Instant now) {
  const auto wait = std::clamp(this->context.typical_service_time / 2,
                               kShortestBlock, kLongestBlock);
  this->blocked_until = now + wait;
  return std::nullopt;
}

}  // namespace burdockwheel::routing
