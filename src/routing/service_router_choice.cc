#include <algorithm>

#include "routing/durations.h"
#include "routing/service_router.h"

namespace burdockwheel::routing {

namespace {

constexpr std::chrono::nanoseconds kShortestBlock =
    std::chrono::milliseconds(1);
constexpr std::chrono::nanoseconds kLongestBlock =
    std::chrono::milliseconds(50);

// A gain below this is not worth looking for.
constexpr double kLeastGain = 0.1;

double UniformDraw(std::mt19937_64& random) {
  return std::uniform_real_distribution<double>(0, 1)(random);
}

}  // namespace

std::optional<model::WorkerId> ServiceRouter::Choose(
    kernel::Instant now, const std::vector<model::WorkerId>& excluded,
    std::mt19937_64& random, bool may_explore, const CallDemand& demand) {
  this->Advance(now);
  this->NoteSlack(now, demand);
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
  if (!this->IsWithinLimit()) return this->Blocked(now);
  this->FillCandidates(now, excluded, demand, this->candidates);
  const bool is_held_back =
      std::ranges::any_of(this->candidates, &Candidate::is_held_back);
  this->DropNotWorthwhile(this->candidates);
  if (this->candidates.empty()) {
    if (is_held_back) this->held_back += 1;
    return this->Blocked(now);
  }
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

void ServiceRouter::NoteSlack(kernel::Instant now, const CallDemand& demand) {
  if (demand.deadline == kernel::Instant::max()) return;
  const std::chrono::nanoseconds slack =
      demand.objective_at - now - demand.work;
  this->slack = std::max(slack, std::chrono::nanoseconds(0));
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

bool ServiceRouter::HasRoom(kernel::Instant now) const {
  std::vector<Candidate> found;
  this->FillCandidates(now, {}, {}, found);
  this->DropNotWorthwhile(found);
  return !found.empty();
}

WorkerBelief* ServiceRouter::ExplorableOrNull(kernel::Instant now) {
  for (auto& worker : this->workers) {
    if (worker->OwnInFlight() > 0 || worker->Record().is_evacuated) continue;
    const bool is_wanted =
        worker->Standing().WantsExploring(now, this->calls_since_exploring) &&
        worker->IsWithinWarmUpShare(now, this->context);
    if (is_wanted) return worker.get();
  }
  return nullptr;
}

bool ServiceRouter::MayAsk() const {
  const double share = this->settings->asking_share * this->CountSlots() /
                       this->context.most_entry_hosts;
  return this->OwnInFlight() < std::max(1.0, share);
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
    if (worker->Record().is_evacuated) continue;
    if (std::ranges::count(excluded, worker->Record().id) > 0) continue;
    const auto view = worker->View(now, this->context, demand);
    const bool has_room = worker->HasRoom(now, view, this->context, may_ask);
    const bool is_held_back =
        has_room && !worker->IsWithinWarmUpShare(now, this->context);
    found.push_back(
        {worker.get(), view, has_room && !is_held_back, is_held_back});
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
  std::erase_if(found, [](const Candidate& each) { return each.is_held_back; });
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
