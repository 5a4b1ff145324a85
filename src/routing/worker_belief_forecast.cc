#include <algorithm>
#include <cmath>

#include "routing/durations.h"
#include "routing/worker_belief.h"

namespace burdockwheel::routing {

namespace {

// Stands in for the service time until the first answer.
constexpr std::chrono::nanoseconds kNominalServiceTime =
    std::chrono::milliseconds(1);
// The doubt about an estimated load, in calls.
constexpr double kLoadDoubt = 1.5;
// A failure costs about this many service times until the call is elsewhere.
constexpr double kFailurePenalty = 1.0;

// Returns how many calls a call would wait for, where the load is only known
// with some doubt: a smooth form of max(0, load + 1 - slots).
double ExpectedCallsAhead(double load, double slots) {
  const double beyond = load + 1 - slots;
  return (beyond + std::sqrt(beyond * beyond + 4 * kLoadDoubt * kLoadDoubt)) /
         2;
}

std::chrono::nanoseconds TypicalServiceTime(const ServiceContext& context) {
  const auto typical = context.typical_service_time;
  return typical.count() > 0 ? typical : kNominalServiceTime;
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

double ExpectedWorth(kernel::Instant now, const CallDemand& demand,
                     const ForecastInput& forecast, const NoiseModel& noise) {
  if (demand.deadline == kernel::Instant::max()) return 1;
  const double in_time = ChanceWithin(demand.deadline - now, forecast, noise);
  if (demand.objective_at >= demand.deadline) return in_time;
  const double full = ChanceWithin(demand.objective_at - now, forecast, noise);
  return full + kLateWorth * std::max(0.0, in_time - full);
}

}  // namespace

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
  const double cold = this->warm_up.IsSlow(now) ? kColdFactor : 1.0;
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
                    (this->warm_up.IsSlow(now) ? 2 : 1);
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
