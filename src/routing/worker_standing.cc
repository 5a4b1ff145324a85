#include "routing/worker_standing.h"

#include <algorithm>
#include <cmath>
#include <string>
#include <utility>

#include "routing/durations.h"

namespace burdockwheel::routing {

namespace {

constexpr double kFailureShareGain = 0.2;
constexpr int kMostDoublings = 16;
constexpr double kMostScore = 10;

}  // namespace

WorkerStanding::WorkerStanding(kernel::Instant now,
                               const RouterSettings& settings,
                               model::WorkerId address, bool is_established)
    : settings(settings),
      address(std::move(address)),
      drain(settings.drain),
      ramp_began_at(now),
      scored_at(now),
      slowness_at(now),
      exploring_gap(settings.standing.shortest_exploring_gap) {
  if (!is_established && settings.standing.is_ramping)
    this->standing = Standing::kStarting;
}

Standing WorkerStanding::State() const {
  if (this->drain.IsDraining()) return Standing::kDraining;
  return this->paused_until ? Standing::kPaused : this->standing;
}

double WorkerStanding::Weight(kernel::Instant now) const {
  const auto& rules = this->settings.standing;
  if (this->standing == Standing::kOnTrial) return rules.ramp_start;
  if (this->standing != Standing::kStarting) return 1;
  const double progress = Ratio(now - this->ramp_began_at, rules.ramp_time);
  return std::clamp(progress, rules.ramp_start, 1.0);
}

double WorkerStanding::FailureScore(kernel::Instant now) const {
  if (this->score == 0) return 0;
  const double halvings =
      Ratio(now - this->scored_at, this->settings.standing.failure_half_life);
  return this->score * std::exp2(-halvings);
}

bool WorkerStanding::TakesCalls() const {
  if (this->drain.IsDraining() || this->paused_until) return false;
  return this->standing != Standing::kEjected &&
         this->standing != Standing::kOnTrial;
}

bool WorkerStanding::WantsExploring(kernel::Instant now,
                                    int calls_since_exploring) const {
  if (this->drain.IsDraining() || this->paused_until) return false;
  if (now < this->explore_at) return false;
  if (this->standing == Standing::kOnTrial) return true;
  const auto& rules = this->settings.standing;
  if (this->standing == Standing::kActive) {
    return this->slowness > rules.starved_ratio &&
           now - this->slowness_at >= rules.longest_exploring_gap;
  }
  if (this->standing != Standing::kSlow) return false;
  return calls_since_exploring >= rules.calls_per_exploring ||
         now - this->explore_at >= rules.longest_exploring_gap;
}

void WorkerStanding::NoteExploring(kernel::Instant now, double jitter) {
  const auto& rules = this->settings.standing;
  const auto gap =
      Scale(this->exploring_gap, 1 + jitter * rules.back_off_jitter);
  this->explore_at = now + gap;
  this->exploring_gap =
      std::min(this->exploring_gap * 2, rules.longest_exploring_gap);
}

void WorkerStanding::ObserveSuccess(kernel::Instant now,
                                    std::vector<StandingChange>& changes) {
  this->score =
      this->FailureScore(now) * this->settings.standing.success_factor;
  this->scored_at = now;
  this->failures_in_row = 0;
  this->failure_share -= this->failure_share * kFailureShareGain;
  if (this->standing != Standing::kOnTrial) return;
  this->explore_at = now;
  if (++this->trial_successes < this->settings.standing.trial_successes) return;
  this->score = 0;
  this->ramp_began_at = now;
  this->Enter(now, Standing::kStarting, StandingCause::kTrialSucceeded,
              changes);
}

void WorkerStanding::ObserveFailure(kernel::Instant now, double weight,
                                    bool may_eject, double jitter,
                                    std::vector<StandingChange>& changes) {
  if (now - this->scored_at > this->settings.standing.row_gap)
    this->failures_in_row = 0;
  this->failures_in_row += weight;
  this->score = std::min(this->FailureScore(now) + weight, kMostScore);
  this->scored_at = now;
  this->failure_share += (1 - this->failure_share) * kFailureShareGain;
  if (!this->settings.standing.is_ejecting) return;
  if (this->standing == Standing::kEjected) return;
  if (this->standing == Standing::kOnTrial) {
    this->Eject(now, StandingCause::kTrialFailed, jitter, changes);
    return;
  }
  if (std::max(this->score, this->failures_in_row) <
      this->settings.standing.ejection_score)
    return;
  if (!may_eject) return;
  this->Eject(now, StandingCause::kFastFailures, jitter, changes);
}

void WorkerStanding::ObserveSlowness(kernel::Instant now, double ratio,
                                     std::vector<StandingChange>& changes) {
  const auto& rules = this->settings.standing;
  this->slowness = ratio;
  this->slowness_at = now;
  if (this->standing == Standing::kActive && ratio >= rules.slow_ratio) {
    this->exploring_gap = rules.shortest_exploring_gap;
    this->explore_at = now + this->exploring_gap;
    this->Enter(now, Standing::kSlow, StandingCause::kSlowAnswers, changes);
    return;
  }
  if (this->standing == Standing::kSlow && ratio <= rules.recovered_ratio)
    this->Enter(now, Standing::kActive, StandingCause::kSpeedRecovered,
                changes);
}

void WorkerStanding::ObserveStatement(kernel::Instant now,
                                      kernel::Instant asked_at,
                                      bool is_draining,
                                      std::vector<StandingChange>& changes) {
  const Standing before = this->State();
  this->drain.ObserveStatement(now, asked_at, is_draining);
  this->NoteDrainChange(now, before, changes);
}

void WorkerStanding::ObserveListed(kernel::Instant now,
                                   model::WorkerState state,
                                   std::vector<StandingChange>& changes) {
  const Standing before = this->State();
  this->drain.ObserveListed(now, state);
  this->NoteDrainChange(now, before, changes);
}

void WorkerStanding::ObserveAbsent(kernel::Instant now,
                                   std::vector<StandingChange>& changes) {
  const Standing before = this->State();
  this->drain.ObserveAbsent(now);
  this->NoteDrainChange(now, before, changes);
}

void WorkerStanding::ObserveNotice(kernel::Instant now,
                                   const model::WorkerNotice& notice,
                                   std::vector<StandingChange>& changes) {
  const Standing before = this->State();
  if (notice.is_leaving) {
    this->drain.ObserveLeaving();
    this->NoteDrainChange(now, before, changes);
    return;
  }
  if (notice.pause.count() == 0) return;
  this->paused_until =
      std::max(this->paused_until.value_or(now), now + notice.pause);
  if (before == this->State()) return;
  this->Record(now, before, Standing::kPaused, StandingCause::kPauseAsked,
               changes);
}

void WorkerStanding::Readmit(kernel::Instant now,
                             std::vector<StandingChange>& changes) {
  if (this->standing != Standing::kEjected) return;
  this->trial_successes = 0;
  this->score = 0;
  this->failures_in_row = 0;
  this->Enter(now, Standing::kActive, StandingCause::kEjectionFloor, changes);
}

void WorkerStanding::Advance(kernel::Instant now,
                             std::vector<StandingChange>& changes) {
  if (this->paused_until && *this->paused_until <= now) {
    const Standing before = this->State();
    this->paused_until.reset();
    if (before == Standing::kPaused)
      this->Record(now, before, this->standing, StandingCause::kPauseOver,
                   changes);
  }
  if (this->standing == Standing::kEjected && this->ejected_until <= now) {
    this->trial_successes = 0;
    this->explore_at = now;
    this->Enter(now, Standing::kOnTrial, StandingCause::kBackOffPassed,
                changes);
  }
  const auto ramp_time = this->settings.standing.ramp_time;
  if (this->standing == Standing::kStarting &&
      now - this->ramp_began_at >= ramp_time) {
    this->ejections = std::max(0, this->ejections - 1);
    this->Enter(now, Standing::kActive, StandingCause::kRampFinished, changes);
  }
}

std::optional<kernel::Instant> WorkerStanding::NextWake() const {
  if (this->drain.IsDraining()) return this->drain.RecheckAt();
  if (this->paused_until) return this->paused_until;
  switch (this->standing) {
    case Standing::kEjected:
      return this->ejected_until;
    case Standing::kStarting:
      return this->ramp_began_at + this->settings.standing.ramp_time;
    case Standing::kOnTrial:
    case Standing::kSlow:
    case Standing::kActive:
    case Standing::kDraining:
    case Standing::kPaused:
      return std::nullopt;
  }
  return std::nullopt;
}

void WorkerStanding::Eject(kernel::Instant now, StandingCause cause,
                           double jitter,
                           std::vector<StandingChange>& changes) {
  const auto& rules = this->settings.standing;
  const int doublings = std::min(this->ejections, kMostDoublings);
  const auto back_off = std::min(rules.shortest_back_off * (1 << doublings),
                                 rules.longest_back_off);
  this->ejected_until =
      now + Scale(back_off, 1 + jitter * rules.back_off_jitter);
  this->ejections += 1;
  this->Enter(now, Standing::kEjected, cause, changes);
}

void WorkerStanding::Enter(kernel::Instant now, Standing next,
                           StandingCause cause,
                           std::vector<StandingChange>& changes) {
  const Standing from = std::exchange(this->standing, next);
  if (this->drain.IsDraining() || this->paused_until) return;
  this->Record(now, from, next, cause, changes);
}

void WorkerStanding::NoteDrainChange(kernel::Instant now, Standing before,
                                     std::vector<StandingChange>& changes) {
  const bool was_draining = before == Standing::kDraining;
  if (was_draining == this->drain.IsDraining()) return;
  if (!was_draining) {
    this->Record(now, before, Standing::kDraining, this->drain.Cause(),
                 changes);
    return;
  }
  // What was known of the worker is out of date: it begins anew.
  this->score = 0;
  this->failures_in_row = 0;
  this->ejections = 0;
  this->failure_share = 0;
  this->ramp_began_at = now;
  this->standing = this->settings.standing.is_ramping ? Standing::kStarting
                                                      : Standing::kActive;
  this->Record(now, Standing::kDraining, this->standing,
               StandingCause::kDrainWithdrawn, changes);
}

void WorkerStanding::Record(kernel::Instant now, Standing from, Standing to,
                            StandingCause cause,
                            std::vector<StandingChange>& changes) const {
  std::string evidence =
      "failure_score=" + std::to_string(this->FailureScore(now)) +
      " failure_share=" + std::to_string(this->failure_share) +
      " slowness=" + std::to_string(this->slowness) +
      " ejections=" + std::to_string(this->ejections);
  changes.push_back({this->address, from, to, cause, std::move(evidence)});
}

}  // namespace burdockwheel::routing
