#include <algorithm>

#include "engine/call_flow.h"
#include "engine/retry_policy.h"
#include "engine/service_state.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;

}  // namespace

void CallFlow::HandleCallerGone(kernel::Instant now, const CallerGone& event,
                                Actions& actions) {
  CallState* call = this->calls.FindOrNull(event.call);
  if (call == nullptr || call->phase == CallPhase::kDone) return;
  if (call->phase == CallPhase::kQueued)
    call->service->Queue().Remove(call->kind->index, call->id);
  if (call->kind->definition.is_idempotent) {
    this->Finish(*call, actions);
    return;
  }
  if (call->phase == CallPhase::kSent) return;
  // The caller no longer reads this refusal.
  this->Refuse(now, *call, model::RefusalReason::kOverloaded, milliseconds(0),
               actions);
}

void CallFlow::Retry(kernel::Instant now, CallState& call, Actions& actions) {
  if (this->IsHeld(now, call)) {
    this->EndWithoutSuccess(now, call, actions);
    return;
  }
  const std::shared_ptr<ServiceState> service = call.service;
  if (const auto worker = this->ChooseUntriedWorker(now, call)) {
    this->BeginAttempt(now, call, *worker, AttemptCause::kRetry, actions);
    return;
  }
  if (!service->Router().HasWorkers()) {
    this->EndWithoutSuccess(now, call, actions);
    return;
  }
  this->Enqueue(now, call, actions);
  this->Dispatch(now, *service, actions);
}

void CallFlow::HandleAttemptEnded(kernel::Instant now,
                                  const AttemptEnded& event, Actions& actions) {
  CallState* call = this->calls.FindOrNull(event.call);
  if (call == nullptr) return;
  const auto attempt =
      std::ranges::find(call->attempts, event.attempt, &AttemptState::id);
  if (attempt == call->attempts.end() || !attempt->is_running) return;
  attempt->is_running = false;
  attempt->is_promise_of_not_run = event.outcome.is_promise_of_not_run;
  call->running_attempts -= 1;
  const std::shared_ptr<ServiceState> service = call->service;
  const bool was_suspected = this->guard.IsSuspected(now, call->fingerprint);
  const auto undelayed_service_time = service->Router().AttemptEnded(
      now, attempt->worker, attempt->id, event.outcome);
  if (undelayed_service_time) call->kind->work.Observe(*undelayed_service_time);
  if (service->Hedges() && attempt->cause == AttemptCause::kHedge) {
    service->Hedges()->RecordEnd(attempt->expected_work,
                                 now - attempt->started_at);
  }
  this->RecordOutcome(now, *call, *attempt, event.outcome);
  const auto& outcome = event.outcome;
  const bool is_answered = outcome.result == model::AttemptResult::kAnswered;
  if (call->phase == CallPhase::kDone) {
    if (call->running_attempts == 0) this->calls.Erase(call->id);
  } else if (is_answered && !IsRetryableStatus(outcome.status)) {
    this->Relay(now, *call, event.attempt, actions);
  } else {
    if (is_answered) call->error_answer = event.attempt;
    call->last_result = outcome.result;
    if (!model::IsProofOfNotRun(outcome.result)) call->may_have_run = true;
    if (call->running_attempts == 0)
      this->RetryOrFail(now, *call, outcome, was_suspected, actions);
  }
  this->Dispatch(now, *service, actions);
}

void CallFlow::RecordOutcome(kernel::Instant now, CallState& call,
                             const AttemptState& attempt,
                             const model::AttemptOutcome& outcome) {
  ServiceState& service = *call.service;
  if (outcome.result == model::AttemptResult::kBroken) {
    this->guard.RecordBrokenAttempt(now, call.fingerprint, service.Name(),
                                    attempt.worker);
    return;
  }
  if (outcome.result != model::AttemptResult::kAnswered) return;
  this->guard.RecordAnsweredAttempt(now, call.fingerprint, attempt.worker,
                                    attempt.started_at);
  if (IsRetryableStatus(outcome.status)) return;
  call.kind->fast_latency.Observe(outcome.latency);
  call.kind->slow_latency.Observe(outcome.latency);
  service.Queue().ObserveServiceTime(call.kind->index, outcome.latency);
  if (attempt.cause != AttemptCause::kFirstTry) return;
  service.Budget().RecordFirstTrySuccess();
  if (service.Hedges()) service.Hedges()->RecordFirstTry(outcome.latency);
}

void CallFlow::RetryOrFail(kernel::Instant now, CallState& call,
                           const model::AttemptOutcome& outcome,
                           bool was_suspected, Actions& actions) {
  const bool is_broken = outcome.result == model::AttemptResult::kBroken;
  const bool is_guarded = this->settings.protections.has_crash_guard;
  const auto extra = ClassifyRetry(now, call, outcome);
  const bool is_crash_repeated = is_broken && is_guarded && was_suspected;
  if (!extra || is_crash_repeated || this->IsHeld(now, call) ||
      !call.service->Budget().TrySpend(*extra)) {
    this->EndWithoutSuccess(now, call, actions);
    return;
  }
  if (!is_broken || !is_guarded) {
    this->Retry(now, call, actions);
    return;
  }
  call.phase = CallPhase::kWaitingToRetry;
  call.timer_at = now + CrashGuard::kRetryDelay;
  this->timers.Push({call.timer_at, call.id, nullptr});
}

void CallFlow::EndWithoutSuccess(kernel::Instant now, CallState& call,
                                 Actions& actions) {
  if (call.error_answer) {
    this->Relay(now, call, *call.error_answer, actions);
    return;
  }
  using Reason = model::RefusalReason;
  if (call.last_result == model::AttemptResult::kTimedOut) {
    this->Refuse(now, call, Reason::kDeadlineExceeded, milliseconds(0),
                 actions);
    return;
  }
  if (this->IsHeld(now, call)) {
    this->Refuse(now, call, Reason::kSuspectedCrashingCall,
                 this->guard.HoldRemaining(now, call.fingerprint), actions);
    return;
  }
  if (call.last_result == model::AttemptResult::kRefused) {
    this->Refuse(now, call, Reason::kOverloaded,
                 this->DrawRefusedRetryAfter(now, *call.service), actions);
    return;
  }
  this->Refuse(now, call, Reason::kWorkerFailed, milliseconds(0), actions);
}

void CallFlow::Relay(kernel::Instant now, CallState& call,
                     model::AttemptId attempt, Actions& actions) {
  const auto answered =
      std::ranges::find(call.attempts, attempt, &AttemptState::id);
  // The worker has not stated that it did not run the call, so a caller that
  // believes its answer would let the call run a second time.
  if (!call.kind->definition.is_idempotent && answered->is_promise_of_not_run) {
    call.may_have_run = true;
    call.last_result = model::AttemptResult::kAnswered;
    this->Refuse(now, call, model::RefusalReason::kWorkerFailed,
                 milliseconds(0), actions);
    return;
  }
  if (call.service->Hedges() && answered->cause == AttemptCause::kHedge)
    call.service->Hedges()->RecordWin();
  actions.emplace_back(RelayAnswer{call.id, attempt});
  this->Finish(call, actions);
}

void CallFlow::Finish(CallState& call, Actions& actions) {
  call.phase = CallPhase::kDone;
  this->active_calls -= 1;
  for (const AttemptState& attempt : call.attempts) {
    if (!attempt.is_running) continue;
    actions.emplace_back(CancelAttempt{call.id, attempt.id});
  }
  if (call.running_attempts == 0) this->calls.Erase(call.id);
}

bool CallFlow::IsHeld(kernel::Instant now, const CallState& call) {
  return this->settings.protections.has_crash_guard &&
         this->guard.IsHeld(now, call.fingerprint);
}

}  // namespace burdockwheel::engine
