#include "routing/worker_belief.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// Stands in for the service time until the first answer.
constexpr std::chrono::nanoseconds kNominalServiceTime =
    std::chrono::milliseconds(1);
// The doubt about an estimated load, in calls.
constexpr double kLoadDoubt = 1.5;
// A failure costs about this many service times until the call is elsewhere.
constexpr double kFailurePenalty = 1.0;
// A worker that claims a free slot and takes this multiple of the typical
// service time is not believed.
constexpr double kIncredibleRatio = 3.0;
// A refusal tells little of a worker that admits to be full.
constexpr double kFullRefusalWeight = 0.25;
constexpr int kServerErrorStatus = 500;

// Returns how many calls a call would wait for, where the load is only known
// with some doubt: a smooth form of max(0, load + 1 - slots).
double ExpectedCallsAhead(double load, double slots) {
  const double beyond = load + 1 - slots;
  return (beyond + std::sqrt(beyond * beyond + 4 * kLoadDoubt * kLoadDoubt)) /
         2;
}

// Returns by how much a queue at the worker prolongs a call.
double LoadFactor(double load, double slots) {
  return 1 + std::max(0.0, load + 1 - slots) / slots;
}

std::chrono::nanoseconds TypicalServiceTime(const ServiceContext& context) {
  const auto typical = context.typical_service_time;
  return typical.count() > 0 ? typical : kNominalServiceTime;
}

int ClaimedLoad(const model::WorkerReport& report) {
  return report.calls_in_flight + report.calls_queued;
}

// What an answer is worth that misses the objective and meets the deadline, as
// a share of one that meets both.
constexpr double kLateWorth = 0.1;
// By how much a recent failure lowers the worth that is expected.
constexpr double kFailureDoubt = 0.5;
// A worker that has just started takes about this multiple of the usual time.
constexpr double kColdFactor = 2.0;
constexpr double kLikely = 0.5;
// What may still be left of work that has taken its usual time, as a share of
// it.
constexpr double kLeastWorkLeft = 0.15;
// Work that has taken this multiple of its usual time is doubted.
constexpr double kOverdueFrom = 2.0;

// Workers close connections that were idle for longer; their default is 10 s.
constexpr std::chrono::seconds kIdleConnectionAge{8};

double ExpectedWorth(kernel::Instant now, const CallDemand& demand,
                     const ForecastInput& forecast, const NoiseModel& noise) {
  if (demand.deadline == kernel::Instant::max()) return 1;
  const double in_time = ChanceWithin(demand.deadline - now, forecast, noise);
  if (demand.objective_at >= demand.deadline) return in_time;
  const double full = ChanceWithin(demand.objective_at - now, forecast, noise);
  return full + kLateWorth * std::max(0.0, in_time - full);
}

}  // namespace

WorkerBelief::WorkerBelief(kernel::Instant now, WorkerKey key,
                           model::WorkerRecord record, bool is_established,
                           const RouterSettings& settings)
    : settings(settings),
      key(key),
      record(std::move(record)),
      standing(now, settings, this->record.id, is_established),
      load(settings.load),
      speed(settings.speed) {
  if (this->record.warm_up) this->warm_at = now + *this->record.warm_up;
}

void WorkerBelief::UpdateRecord(kernel::Instant now,
                                const model::WorkerRecord& newest,
                                std::vector<StandingChange>& changes) {
  const bool is_new_life = newest.incarnation != this->record.incarnation;
  this->record = newest;
  if (newest.warm_up) {
    const auto warm_at = now + *newest.warm_up;
    this->warm_at = is_new_life ? warm_at : std::max(this->warm_at, warm_at);
  }
  this->standing.ObserveListed(now, newest.state, changes);
}

void WorkerBelief::AttemptStarted(kernel::Instant now, model::AttemptId attempt,
                                  const ServiceContext& context) {
  const double load = this->OwnInFlight() + this->Others(now, context);
  // The newest connection is used first.
  if (!this->idle_since.empty()) this->idle_since.pop_back();
  this->attempts.push_back({attempt, now, this->answers,
                            LoadFactor(load, this->Slots(context)),
                            this->FreshSlowdown(now)});
}

bool WorkerBelief::HasIdleConnection(kernel::Instant now) const {
  return !this->idle_since.empty() &&
         now - this->idle_since.back() <= kIdleConnectionAge;
}

std::optional<double> WorkerBelief::FreshSlowdown(kernel::Instant now) const {
  if (now - this->slowdown_at > NoiseModel::kLongestGap) return std::nullopt;
  return this->slowdown;
}

void WorkerBelief::NoteSlowdown(kernel::Instant now,
                                const model::WorkerReport& report,
                                const ServiceContext& context) {
  if (!report.slowdown) return;
  context.noise->NoteReport();
  if (this->slowdown) {
    context.noise->Observe(*this->slowdown, *report.slowdown,
                           now - this->slowdown_at);
  }
  if (NoiseModel::IsSlowed(*report.slowdown)) {
    if (!this->IsSlowedByNeighbours()) this->slowed_from = now;
    this->slowed_until = now;
    this->last_slowdown = *report.slowdown;
  }
  this->slowdown = report.slowdown;
  this->slowdown_at = now;
}

std::optional<std::chrono::nanoseconds> WorkerBelief::WithoutNoise(
    const Attempt& attempt, const model::AttemptOutcome& outcome) const {
  const auto after =
      outcome.report ? outcome.report->slowdown : std::optional<double>();
  // Workers that tell nothing of noise are taken at their word.
  if (!after) return outcome.latency;
  if (!attempt.slowdown) return std::nullopt;
  if (NoiseModel::IsSlowed(*attempt.slowdown) || NoiseModel::IsSlowed(*after))
    return std::nullopt;
  return outcome.latency;
}

std::optional<std::chrono::nanoseconds> WorkerBelief::AttemptEnded(
    kernel::Instant now, model::AttemptId id,
    const model::AttemptOutcome& outcome, const ServiceContext& context,
    double peers_failure_share, bool may_eject, double jitter,
    std::vector<StandingChange>& changes) {
  const auto attempt = this->TakeAttempt(id);
  if (!attempt) return std::nullopt;
  const bool is_kept = outcome.result == model::AttemptResult::kAnswered ||
                       outcome.result == model::AttemptResult::kRefused;
  std::erase_if(this->idle_since, [now](kernel::Instant since) {
    return now - since > kIdleConnectionAge;
  });
  if (is_kept) this->idle_since.push_back(now);
  if (outcome.report) {
    this->load.NoteClaim(this->IsClaimCredible(*attempt, outcome, context));
    this->load.ObserveReport(now, *outcome.report, this->OwnInFlight());
    this->NoteSlowdown(now, *outcome.report, context);
    this->standing.ObserveStatement(now, attempt->started_at,
                                    outcome.report->is_draining, changes);
  }
  const double weight = this->FailureWeight(outcome, context);
  if (weight > 0) {
    this->standing.ObserveFailure(now, weight * (1 - peers_failure_share),
                                  may_eject, jitter, changes);
  }
  switch (outcome.result) {
    case model::AttemptResult::kAnswered:
      // A failure that comes fast must not make the worker look fast.
      if (weight > 0) break;
      return this->ObserveAnswer(now, *attempt, outcome, context, changes);
    case model::AttemptResult::kTimedOut:
    case model::AttemptResult::kCancelled:
      if (this->IsSlowedByNeighbours()) break;
      this->speed.ObserveLowerBound(now, now - attempt->started_at,
                                    attempt->load_factor);
      break;
    case model::AttemptResult::kRefused:
    case model::AttemptResult::kMisdirected:
    case model::AttemptResult::kNotSent:
    case model::AttemptResult::kBroken:
      break;
  }
  return std::nullopt;
}

void WorkerBelief::ObserveProbe(kernel::Instant now,
                                const model::WorkerReport& report,
                                std::chrono::nanoseconds age,
                                const ServiceContext& context,
                                std::vector<StandingChange>& changes) {
  const auto measured_at = now - age;
  if (this->load.Report() && measured_at < this->load.ReportedAt()) return;
  this->load.ObserveReport(measured_at, report, this->OwnInFlight());
  this->NoteSlowdown(measured_at, report, context);
  this->standing.ObserveStatement(now, measured_at, report.is_draining,
                                  changes);
}

WorkerView WorkerBelief::View(kernel::Instant now,
                              const ServiceContext& context,
                              const CallDemand& demand) const {
  WorkerView view;
  view.key = this->key;
  view.is_local = !context.is_local_preferred ||
                  this->record.failure_domain == context.own_domain;
  view.slots = this->Slots(context);
  view.own_in_flight = this->OwnInFlight();
  view.weight = this->standing.Weight(now);
  if (!this->HasIdleConnection(now))
    view.connection_cost = context.connection_price;
  view.expected_load = view.own_in_flight + this->Others(now, context);
  if (this->settings.standing.is_failure_penalized)
    view.failure_score = this->standing.FailureScore(now);
  view.service_time = this->EffectiveServiceTime(now, context);
  view.report = this->load.Report();
  if (view.report) view.reported_at = this->load.ReportedAt();
  const double slots = std::max(1.0, view.slots * view.weight);
  const double ahead = ExpectedCallsAhead(view.expected_load, slots) / slots;
  const auto forecast = this->Forecast(now, context, demand, ahead);
  const double penalty = 1 + kFailurePenalty * view.failure_score;
  view.expected_delay = Scale(ExpectedTime(forecast, *context.noise), penalty);
  if (!view.is_local) view.expected_delay += context.crossing_cost;
  view.expected_worth = ExpectedWorth(now, demand, forecast, *context.noise) /
                        (1 + kFailureDoubt * view.failure_score);
  return view;
}

std::chrono::nanoseconds WorkerBelief::WorkOf(kernel::Instant now,
                                              const ServiceContext& context,
                                              const CallDemand& demand) const {
  const auto typical = TypicalServiceTime(context);
  const auto usual = std::max(this->EffectiveServiceTime(now, context),
                              kNominalServiceTime / 1000);
  const auto work = demand.work.count() > 0 ? demand.work : typical;
  const double cold = now < this->warm_at ? kColdFactor : 1.0;
  return Scale(work, Ratio(usual, typical) * cold);
}

void WorkerBelief::SetNoise(kernel::Instant now, const ServiceContext& context,
                            ForecastInput& input) const {
  if (!this->slowdown) {
    input.slowed_chance = context.noise->SlowedChanceWithoutReport();
    input.slowdown = context.noise->TypicalSlowdown();
    return;
  }
  input.slowed_chance =
      context.noise->SlowedChance(*this->slowdown, now - this->slowdown_at);
  input.slowdown = *this->slowdown;
}

ForecastInput WorkerBelief::Forecast(kernel::Instant now,
                                     const ServiceContext& context,
                                     const CallDemand& demand,
                                     double calls_ahead) const {
  ForecastInput input;
  input.work = this->WorkOf(now, context, demand);
  this->SetNoise(now, context, input);
  const double pace =
      input.slowed_chance > kLikely ? std::max(input.slowdown, 1.0) : 1.0;
  // Calls ahead wait for slots that run at the same pace.
  const auto usual = this->EffectiveServiceTime(now, context);
  input.overhead = Scale(usual, calls_ahead * pace);
  const bool is_remote = context.is_local_preferred &&
                         this->record.failure_domain != context.own_domain;
  if (is_remote) input.overhead += 2 * context.crossing_cost;
  return input;
}

// How much of its work a call has done that began then, if it has held a slot
// since.
std::chrono::nanoseconds WorkerBelief::Progress(kernel::Instant begun_at,
                                                kernel::Instant now) const {
  const auto elapsed = now - begun_at;
  if (!this->slowdown || this->slowed_until <= begun_at) return elapsed;
  const auto from = std::max(begun_at, this->slowed_from);
  const auto until =
      this->IsSlowedByNeighbours() ? now : std::min(now, this->slowed_until);
  const auto slowed = std::max(until - from, kernel::Instant::duration(0));
  const double pace = std::max(this->last_slowdown, 1.0);
  return elapsed - slowed + Scale(slowed, 1 / pace);
}

double WorkerBelief::WorthOfStaying(kernel::Instant now, model::AttemptId id,
                                    const ServiceContext& context,
                                    const CallDemand& demand) const {
  const auto found = std::ranges::find(
      this->attempts, id, [](const Attempt& attempt) { return attempt.id; });
  if (found == this->attempts.end()) return 0;
  // A call that is out for long must not make its worker look slow here, or it
  // would seem to have done little.
  const auto work = std::max(demand.work, kNominalServiceTime) *
                    (now < this->warm_at ? 2 : 1);
  const auto begun_at = found->started_at + Scale(work, found->load_factor - 1);
  const auto progress = this->Progress(std::min(begun_at, now), now);
  ForecastInput input;
  input.work = std::max(work - progress, Scale(work, kLeastWorkLeft));
  this->SetNoise(now, context, input);
  const double worth = ExpectedWorth(now, demand, input, *context.noise);
  // Work that should long be done is on a worker that hangs, or is lost.
  const double overdue = Ratio(progress, work) - kOverdueFrom;
  return overdue > 0 ? worth * std::exp(-overdue) : worth;
}

int WorkerBelief::Slots(const ServiceContext& context) const {
  return this->record.slots > 0 ? this->record.slots : context.worker_slots;
}

bool WorkerBelief::HasRoom(kernel::Instant now, const WorkerView& view,
                           const ServiceContext& context, bool may_ask) const {
  if (view.own_in_flight >= context.most_own_in_flight) return false;
  if (!this->settings.is_slot_limit_held) return true;
  const double limit =
      (view.slots + this->settings.slot_allowance) * view.weight;
  if (view.expected_load < std::max(1.0, limit)) return true;
  // Without own attempts no answer would ever correct the estimate.
  if (view.own_in_flight > 0 || !may_ask) return false;
  if (!view.report) return true;
  return now - view.reported_at >=
         Scale(view.service_time, this->settings.report_lifetimes);
}

std::optional<WorkerBelief::Attempt> WorkerBelief::TakeAttempt(
    model::AttemptId id) {
  const auto found = std::ranges::find(
      this->attempts, id, [](const Attempt& attempt) { return attempt.id; });
  if (found == this->attempts.end()) return std::nullopt;
  const Attempt attempt = *found;
  this->attempts.erase(found);
  return attempt;
}

std::optional<std::chrono::nanoseconds> WorkerBelief::ObserveAnswer(
    kernel::Instant now, const Attempt& attempt,
    const model::AttemptOutcome& outcome, const ServiceContext& context,
    std::vector<StandingChange>& changes) {
  ++this->answers;
  this->standing.ObserveSuccess(now, changes);
  auto latency = this->WithoutNoise(attempt, outcome);
  if (!latency) return std::nullopt;
  double load_factor = attempt.load_factor;
  if (outcome.report) {
    const double claimed =
        LoadFactor(ClaimedLoad(*outcome.report), this->Slots(context));
    load_factor = std::max(load_factor, 1 + (claimed - 1) * this->load.Trust());
  }
  const bool is_remote = this->record.failure_domain != context.own_domain;
  // The crossing cost is added to the expected delay again.
  if (context.is_local_preferred && is_remote)
    latency = std::max(*latency / 4, *latency - context.crossing_cost);
  this->speed.ObserveAnswer(now, *latency, load_factor);
  if (context.typical_service_time.count() > 0) {
    this->standing.ObserveSlowness(
        now, Ratio(this->speed.ServiceTime(), context.typical_service_time),
        changes);
  }
  if (load_factor > 1 || now < this->warm_at) return std::nullopt;
  return latency;
}

bool WorkerBelief::IsClaimCredible(const Attempt& attempt,
                                   const model::AttemptOutcome& outcome,
                                   const ServiceContext& context) const {
  const int claimed = ClaimedLoad(*outcome.report);
  const bool claims_free_slot = claimed < this->Slots(context);
  if (outcome.result == model::AttemptResult::kRefused)
    return !claims_free_slot;
  int older = 0;
  for (const auto& other : this->attempts)
    if (other.started_at < attempt.started_at) ++older;
  if (older > claimed + 1) return false;
  if (context.typical_service_time.count() == 0) return true;
  // Neighbours explain a late answer of a worker with free slots.
  if (outcome.report->slowdown) return true;
  return !claims_free_slot ||
         Ratio(outcome.latency, context.typical_service_time) <
             kIncredibleRatio;
}

double WorkerBelief::FailureWeight(const model::AttemptOutcome& outcome,
                                   const ServiceContext& context) const {
  switch (outcome.result) {
    case model::AttemptResult::kAnswered:
      return outcome.status >= kServerErrorStatus ? 1 : 0;
    case model::AttemptResult::kCancelled:
      return 0;
    case model::AttemptResult::kRefused: {
      const bool admits_full = outcome.report && ClaimedLoad(*outcome.report) >=
                                                     this->Slots(context);
      return admits_full ? kFullRefusalWeight : 1;
    }
    case model::AttemptResult::kMisdirected:
    case model::AttemptResult::kNotSent:
    case model::AttemptResult::kBroken:
    case model::AttemptResult::kTimedOut:
      return 1;
  }
  return 0;
}

double WorkerBelief::Others(kernel::Instant now,
                            const ServiceContext& context) const {
  return this->load.Others(now, context.typical_others,
                           TypicalServiceTime(context));
}

std::chrono::nanoseconds WorkerBelief::EffectiveServiceTime(
    kernel::Instant now, const ServiceContext& context) const {
  const auto typical = TypicalServiceTime(context);
  if (this->attempts.empty() || this->IsSlowedByNeighbours())
    return this->speed.EffectiveServiceTime(typical, {}, 0, 1);
  const Attempt& oldest = this->attempts.front();
  return this->speed.EffectiveServiceTime(typical, now - oldest.started_at,
                                          this->answers - oldest.answers_before,
                                          oldest.load_factor);
}

}  // namespace burdockwheel::routing
