#include "routing/worker_belief.h"

#include <algorithm>
#include <utility>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

// A worker that claims a free slot and takes this multiple of the typical
// service time is not believed.
constexpr double kIncredibleRatio = 3.0;
// A refusal tells little of a worker that admits to be full.
constexpr double kFullRefusalWeight = 0.25;
// A call that met a queue this long, as a multiple of the time without one, may
// have found no place in it.
constexpr double kSilencedFrom = 1.5;
constexpr int kServerErrorStatus = 500;

// Returns by how much a queue at the worker prolongs a call.
double LoadFactor(double load, double slots) {
  return 1 + std::max(0.0, load + 1 - slots) / slots;
}

int ClaimedLoad(const model::WorkerReport& report) {
  return report.calls_in_flight + report.calls_queued;
}

// Tells whether the worker's process may have ended.
bool MayHaveRestarted(const model::AttemptOutcome& outcome) {
  return outcome.cause == model::BreakCause::kConnectRefused ||
         outcome.cause == model::BreakCause::kConnectTimeout ||
         outcome.cause == model::BreakCause::kReset ||
         outcome.cause == model::BreakCause::kClosed;
}

// Workers close connections that were idle for longer; their default is 10 s.
constexpr std::chrono::seconds kIdleConnectionAge{8};

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
  if (this->record.warm_up)
    this->warm_up.ObserveRecord(now, *this->record.warm_up, true);
}

void WorkerBelief::UpdateRecord(kernel::Instant now,
                                const model::WorkerRecord& newest,
                                std::vector<StandingChange>& changes) {
  const bool is_new_life = newest.incarnation != this->record.incarnation;
  const bool is_restored = this->record.is_evacuated && !newest.is_evacuated;
  // A record that is listed once more says nothing new.
  const bool is_told =
      newest.warm_up && (is_new_life || newest.warm_up != this->record.warm_up);
  this->record = newest;
  if (is_told) this->warm_up.ObserveRecord(now, *newest.warm_up, is_new_life);
  // Nobody has asked it while its domain was evacuated.
  if (is_restored) this->warm_up.NoteUnproven(now);
  this->standing.ObserveListed(now, newest.state, changes);
}

void WorkerBelief::AttemptStarted(kernel::Instant now, model::AttemptId attempt,
                                  const ServiceContext& context) {
  const double load = this->OwnInFlight() + this->Others(now, context);
  // The newest connection is used first.
  if (!this->idle_since.empty()) this->idle_since.pop_back();
  if (context.max_cold_calls > 0) this->warm_up.NoteSent(now);
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
  this->standing.ObserveNotice(now, outcome.notice, changes);
  if (MayHaveRestarted(outcome)) this->warm_up.NoteUnproven(now);
  const double weight = this->FailureWeight(*attempt, outcome, context);
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
  if (report.warm_up) this->warm_up.ObserveReport(measured_at, *report.warm_up);
  this->standing.ObserveStatement(now, measured_at, report.is_draining,
                                  changes);
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
  if (outcome.report) {
    context.crowding->Observe(*latency, *outcome.report, this->Slots(context));
  }
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
  if (load_factor > 1 || this->warm_up.IsSlow(now)) return std::nullopt;
  return latency;
}

bool WorkerBelief::IsCold(kernel::Instant now,
                          const ServiceContext& context) const {
  return context.max_cold_calls > 0 &&
         this->warm_up.IsCold(now, context.warm_up_duration);
}

bool WorkerBelief::IsWithinWarmUpShare(kernel::Instant now,
                                       const ServiceContext& context) const {
  if (!this->IsCold(now, context)) return true;
  const auto& shares = *context.warm_up_shares;
  if (!shares.IsSettled(now)) return false;
  if (this->warm_up_version != shares.Version()) {
    this->warm_up_version = shares.Version();
    this->warm_up_share = shares.ShareOf(
        this->record.id, this->record.failure_domain, context.max_cold_calls);
  }
  return this->warm_up.CountSent(now) < this->warm_up_share;
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

double WorkerBelief::FailureWeight(const Attempt& attempt,
                                   const model::AttemptOutcome& outcome,
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
      // Its address belongs to another worker now.
      return this->settings.standing.ejection_score;
    case model::AttemptResult::kNotSent:
    case model::AttemptResult::kBroken:
      return 1;
    case model::AttemptResult::kTimedOut:
      // Some workers never answer what they cannot queue.
      return attempt.load_factor > kSilencedFrom ? kFullRefusalWeight : 1;
  }
  return 0;
}

}  // namespace burdockwheel::routing
