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

}  // namespace

WorkerBelief::WorkerBelief(kernel::Instant now, WorkerKey key,
                           model::WorkerRecord record, bool is_established,
                           const RouterSettings& settings)
    : settings(settings),
      key(key),
      record(std::move(record)),
      standing(now, settings, this->record.address, is_established),
      load(settings.load),
      speed(settings.speed) {}

void WorkerBelief::UpdateRecord(kernel::Instant now,
                                const model::WorkerRecord& newest,
                                std::vector<StandingChange>& changes) {
  this->record = newest;
  this->standing.ObserveListed(now, newest.state, changes);
}

void WorkerBelief::AttemptStarted(kernel::Instant now, model::AttemptId attempt,
                                  const ServiceContext& context) {
  const double load = this->OwnInFlight() + this->Others(now, context);
  this->attempts.push_back(
      {attempt, now, this->answers, LoadFactor(load, context.worker_slots)});
}

void WorkerBelief::AttemptEnded(kernel::Instant now, model::AttemptId id,
                                const model::AttemptOutcome& outcome,
                                const ServiceContext& context,
                                double peers_failure_share, bool may_eject,
                                double jitter,
                                std::vector<StandingChange>& changes) {
  const auto attempt = this->TakeAttempt(id);
  if (!attempt) return;
  if (outcome.report) {
    this->load.NoteClaim(this->IsClaimCredible(*attempt, outcome, context));
    this->load.ObserveReport(now, *outcome.report, this->OwnInFlight());
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
      this->ObserveAnswer(now, *attempt, outcome, context, changes);
      return;
    case model::AttemptResult::kTimedOut:
    case model::AttemptResult::kCancelled:
      this->speed.ObserveLowerBound(now, now - attempt->started_at,
                                    attempt->load_factor);
      break;
    case model::AttemptResult::kRefused:
    case model::AttemptResult::kNotSent:
    case model::AttemptResult::kBroken:
      break;
  }
}

void WorkerBelief::ObserveProbe(kernel::Instant now,
                                const model::WorkerReport& report,
                                std::chrono::nanoseconds latency,
                                std::vector<StandingChange>& changes) {
  this->load.ObserveReport(now, report, this->OwnInFlight());
  this->standing.ObserveStatement(now, now - latency, report.is_draining,
                                  changes);
}

WorkerView WorkerBelief::View(kernel::Instant now,
                              const ServiceContext& context) const {
  WorkerView view;
  view.key = this->key;
  view.is_local = !context.is_local_preferred ||
                  this->record.failure_domain == context.own_domain;
  view.slots = context.worker_slots;
  view.own_in_flight = this->OwnInFlight();
  view.weight = this->standing.Weight(now);
  view.expected_load = view.own_in_flight + this->Others(now, context);
  if (this->settings.standing.is_failure_penalized)
    view.failure_score = this->standing.FailureScore(now);
  view.service_time = this->EffectiveServiceTime(now, context);
  view.report = this->load.Report();
  if (view.report) view.reported_at = this->load.ReportedAt();
  const double slots = std::max(1.0, view.slots * view.weight);
  const double factor =
      (1 + ExpectedCallsAhead(view.expected_load, slots) / slots) *
      (1 + kFailurePenalty * view.failure_score);
  view.expected_delay =
      Scale(std::max(view.service_time, kNominalServiceTime / 1000), factor);
  if (!view.is_local) view.expected_delay += context.crossing_cost;
  return view;
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

void WorkerBelief::ObserveAnswer(kernel::Instant now, const Attempt& attempt,
                                 const model::AttemptOutcome& outcome,
                                 const ServiceContext& context,
                                 std::vector<StandingChange>& changes) {
  ++this->answers;
  double load_factor = attempt.load_factor;
  if (outcome.report) {
    const double claimed =
        LoadFactor(ClaimedLoad(*outcome.report), context.worker_slots);
    load_factor = std::max(load_factor, 1 + (claimed - 1) * this->load.Trust());
  }
  auto latency = outcome.latency;
  const bool is_remote = this->record.failure_domain != context.own_domain;
  // The crossing cost is added to the expected delay again.
  if (context.is_local_preferred && is_remote)
    latency = std::max(latency / 4, latency - context.crossing_cost);
  this->speed.ObserveAnswer(now, latency, load_factor);
  this->standing.ObserveSuccess(now, changes);
  if (context.typical_service_time.count() == 0) return;
  this->standing.ObserveSlowness(
      now, Ratio(this->speed.ServiceTime(), context.typical_service_time),
      changes);
}

bool WorkerBelief::IsClaimCredible(const Attempt& attempt,
                                   const model::AttemptOutcome& outcome,
                                   const ServiceContext& context) const {
  const int claimed = ClaimedLoad(*outcome.report);
  const bool claims_free_slot = claimed < context.worker_slots;
  if (outcome.result == model::AttemptResult::kRefused)
    return !claims_free_slot;
  int older = 0;
  for (const auto& other : this->attempts)
    if (other.started_at < attempt.started_at) ++older;
  if (older > claimed + 1) return false;
  if (context.typical_service_time.count() == 0) return true;
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
                                                     context.worker_slots;
      return admits_full ? kFullRefusalWeight : 1;
    }
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
  if (this->attempts.empty())
    return this->speed.EffectiveServiceTime(typical, {}, 0, 1);
  const Attempt& oldest = this->attempts.front();
  return this->speed.EffectiveServiceTime(typical, now - oldest.started_at,
                                          this->answers - oldest.answers_before,
                                          oldest.load_factor);
}

}  // namespace burdockwheel::routing
