#include "engine/call_flow.h"

#include <algorithm>
#include <string>
#include <utility>

#include "engine/service_state.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kNoWorkerRetryAfter{1000};
// Short, since other hosts can take the call at once.
constexpr milliseconds kStopRetryAfter{20};
// Mean delay before callers of an overloaded service retry; drawn between 0.5
// and 1.5 times this, so that they do not all retry at the same time.
constexpr milliseconds kOverloadRetryAfter{1000};
// The same where the service has room: a way to another host and back.
constexpr milliseconds kPromptRetryAfter{50};
// Of the workers' slots; the rest takes what returns at once.
constexpr double kMaxLoadForPromptReturn = 0.8;
// One in this many calls that are expected to miss their deadline is sent all
// the same, so that a wrong estimate of the service time is corrected.
constexpr int kRefusalsPerTrialCall = 20;
// Keeps the crash guard's random sequence apart from that of worker choice.
constexpr std::uint64_t kGuardSeedOffset = 0x9e3779b97f4a7c15;

constexpr auto kNotRun = model::RunState::kNotRun;

std::string MillisecondsText(std::chrono::nanoseconds time) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(time).count());
}

std::string AdmissionEvidence(kernel::Instant now, const CallArrived& event,
                              const std::shared_ptr<ServiceState>& service) {
  std::string evidence = "left_ms=" + MillisecondsText(event.deadline - now) +
                         " depth=" + std::to_string(event.depth);
  const auto kind =
      service == nullptr ? nullptr : service->KindOrNull(event.kind_index);
  if (kind == nullptr) return evidence;
  if (kind->fast_latency.HasValue())
    evidence += " fastest_ms=" + MillisecondsText(kind->fast_latency.Value());
  return evidence + " " + service->Router().DescribeWorkers();
}

// Of a service without a worker that takes calls.
model::RefusalReason NoWorkerReason(ServiceState& service) {
  return service.Router().HasEvacuatedWorkers()
             ? model::RefusalReason::kEvacuated
             : model::RefusalReason::kNoWorker;
}

kernel::Instant LatestStart(const CallState& call) {
  if (!call.kind->fast_latency.HasValue()) return call.deadline;
  return call.deadline - call.kind->fast_latency.Value();
}

}  // namespace

CallFlow::CallFlow(const EngineSettings& settings)
    : settings(settings),
      random(settings.random_seed),
      guard(settings.random_seed + kGuardSeedOffset) {}

void CallFlow::HandleCallArrived(kernel::Instant now, const CallArrived& event,
                                 const std::shared_ptr<ServiceState>& service,
                                 Actions& actions) {
  if (const auto refusal = this->AdmissionRefusal(now, event, service)) {
    actions.emplace_back(RefuseCall{event.call, *refusal,
                                    AdmissionEvidence(now, event, service)});
    return;
  }
  CallState& call = this->calls.Add(event.call);
  this->active_calls += 1;
  call.service = service;
  call.kind = service->KindOrNull(event.kind_index);
  call.arrived_at = now;
  call.deadline = event.deadline;
  call.fingerprint = event.fingerprint;
  if (service->Queue().IsEmpty()) {
    const auto worker = this->ChooseUntriedWorker(now, call);
    if (worker) {
      this->BeginAttempt(now, call, *worker, AttemptCause::kFirstTry, actions);
      return;
    }
  }
  // Waiting calls are dispatched when an attempt ends, a load report arrives or
  // the wake-up fires that was scheduled when the queue was emptied or no
  // worker was found. So an arrival under overload needs no further worker
  // choice.
  this->Enqueue(now, call, actions);
}

std::optional<model::Refusal> CallFlow::AdmissionRefusal(
    kernel::Instant now, const CallArrived& event,
    const std::shared_ptr<ServiceState>& service) {
  using Reason = model::RefusalReason;
  if (event.deadline > this->stop_at)
    return model::Refusal{Reason::kHostStopping, kNotRun, kStopRetryAfter};
  if (event.depth > this->settings.max_depth)
    return model::Refusal{Reason::kTooDeep, kNotRun, {}};
  const auto kind =
      service == nullptr ? nullptr : service->KindOrNull(event.kind_index);
  if (kind == nullptr) return model::Refusal{Reason::kNoSuchRoute, kNotRun, {}};
  if (event.deadline <= now ||
      this->ShouldRefuseForDeadline(now, event.deadline, *kind))
    return model::Refusal{Reason::kDeadlineExceeded, kNotRun, {}};
  if (this->settings.protections.has_crash_guard &&
      this->guard.IsHeld(now, event.fingerprint)) {
    return model::Refusal{Reason::kSuspectedCrashingCall, kNotRun,
                          this->guard.HoldRemaining(now, event.fingerprint)};
  }
  if (!service->Router().HasWorkers()) {
    return model::Refusal{NoWorkerReason(*service), kNotRun,
                          kNoWorkerRetryAfter};
  }
  if (LongPause(now, *service).count() > 0) {
    return model::Refusal{Reason::kOverloaded, kNotRun,
                          this->DrawOverloadRetryAfter(now, *service)};
  }
  return std::nullopt;
}

bool CallFlow::ShouldRefuseForDeadline(kernel::Instant now,
                                       kernel::Instant deadline,
                                       KindState& kind) const {
  if (!this->settings.protections.has_deadline_check) return false;
  if (!kind.fast_latency.HasValue()) return false;
  if (now + kind.fast_latency.Value() < deadline) return false;
  kind.refusals_since_trial += 1;
  if (kind.refusals_since_trial < kRefusalsPerTrialCall) return true;
  kind.refusals_since_trial = 0;
  return false;
}

void CallFlow::Enqueue(kernel::Instant now, CallState& call, Actions& actions) {
  call.phase = CallPhase::kQueued;
  call.timer_at = LatestStart(call);
  this->timers.Push({call.timer_at, call.id, nullptr});
  ServiceState& service = *call.service;
  actions.emplace_back(RecordQueued{
      call.id, "waiting=" + std::to_string(service.Queue().Size()) + " " +
                   service.Router().DescribeWorkers()});
  AdmissionQueue::Calls dropped;
  service.Queue().Add(call.kind->index, {call.id, now, call.timer_at}, dropped);
  this->EndDroppedCalls(now, dropped, actions);
}

void CallFlow::Dispatch(kernel::Instant now, ServiceState& service,
                        Actions& actions) {
  AdmissionQueue& queue = service.Queue();
  if (queue.IsEmpty()) return;
  AdmissionQueue::Calls dropped;
  queue.Expire(now, dropped);
  const bool is_evacuated =
      !service.Router().HasWorkers() && service.Router().HasEvacuatedWorkers();
  if (is_evacuated || LongPause(now, service).count() > 0)
    queue.DropAll(dropped);
  while (!queue.IsEmpty()) {
    const auto worker = service.Router().Choose(now, {}, this->random);
    if (!worker) break;
    const auto id = queue.TryTake(now, dropped);
    if (!id) break;
    if (CallState* call = this->calls.FindOrNull(*id))
      this->SendQueued(now, *call, *worker, actions);
  }
  this->EndDroppedCalls(now, dropped, actions);
}

void CallFlow::SendQueued(kernel::Instant now, CallState& call,
                          const model::WorkerId& worker, Actions& actions) {
  if (this->IsHeld(now, call)) {
    this->Refuse(now, call, model::RefusalReason::kSuspectedCrashingCall,
                 this->guard.HoldRemaining(now, call.fingerprint), actions);
    return;
  }
  const auto best = this->ChooseUntriedWorker(now, call);
  if (call.attempts.empty()) {
    this->BeginAttempt(now, call, best.value_or(worker),
                       AttemptCause::kFirstTry, actions);
    return;
  }
  if (best) {
    this->BeginAttempt(now, call, *best, AttemptCause::kRetry, actions);
    return;
  }
  // Only workers that the call has already tried have a free slot.
  this->EndWithoutSuccess(now, call, actions);
}

void CallFlow::EndDroppedCalls(kernel::Instant now,
                               const AdmissionQueue::Calls& dropped,
                               Actions& actions) {
  for (const model::CallId id : dropped) {
    CallState* call = this->calls.FindOrNull(id);
    if (call == nullptr || call->phase != CallPhase::kQueued) continue;
    if (!call->attempts.empty()) {
      this->EndWithoutSuccess(now, *call, actions);
      continue;
    }
    if (!call->service->Router().HasWorkers()) {
      this->Refuse(now, *call, NoWorkerReason(*call->service),
                   kNoWorkerRetryAfter, actions);
      continue;
    }
    this->Refuse(now, *call, model::RefusalReason::kOverloaded,
                 this->DrawOverloadRetryAfter(now, *call->service), actions);
  }
}

void CallFlow::HandleCallTimer(kernel::Instant now, model::CallId id,
                               Actions& actions) {
  CallState* call = this->calls.FindOrNull(id);
  if (call == nullptr || now < call->timer_at) return;
  call->timer_at = kernel::Instant::max();
  switch (call->phase) {
    case CallPhase::kSent:
      this->HedgeIfUseful(now, *call, actions);
      return;
    case CallPhase::kWaitingToRetry:
      this->Retry(now, *call, actions);
      return;
    case CallPhase::kQueued:
      if (!this->settings.protections.has_deadline_check) return;
      call->service->Queue().Remove(call->kind->index, call->id);
      call->last_result = model::AttemptResult::kTimedOut;
      this->EndWithoutSuccess(now, *call, actions);
      return;
    case CallPhase::kDone:
      return;
  }
}

void CallFlow::BeginAttempt(kernel::Instant now, CallState& call,
                            const model::WorkerId& worker, AttemptCause cause,
                            Actions& actions) {
  this->last_attempt.value += 1;
  call.phase = CallPhase::kSent;
  call.running_attempts += 1;
  call.attempts.push_back({this->last_attempt, worker, now, cause, true});
  call.service->Router().AttemptStarted(now, worker, this->last_attempt);
  actions.emplace_back(StartAttempt{call.id, this->last_attempt, worker,
                                    call.deadline, cause,
                                    call.service->Router().LastChoice()});
  this->ScheduleHedge(now, call);
}

std::shared_ptr<ServiceState> CallFlow::FindServiceOrNull(model::CallId id) {
  const CallState* call = this->calls.FindOrNull(id);
  return call == nullptr ? nullptr : call->service;
}

void CallFlow::Refuse(kernel::Instant now, CallState& call,
                      model::RefusalReason reason, milliseconds retry_after,
                      Actions& actions) {
  const bool may_have_run = call.may_have_run || call.running_attempts > 0;
  const auto run_state =
      may_have_run ? model::RunState::kUnknown : model::RunState::kNotRun;
  ServiceState& service = *call.service;
  std::string evidence =
      "waited_ms=" + MillisecondsText(now - call.arrived_at) +
      " left_ms=" + MillisecondsText(call.deadline - now) +
      " waiting=" + std::to_string(service.Queue().Size()) + " retry_tokens=" +
      std::to_string(static_cast<int>(service.Budget().Tokens())) + " " +
      service.Router().DescribeWorkers();
  if (!call.attempts.empty()) {
    evidence += " last=";
    evidence += model::AttemptResultName(call.last_result);
  }
  actions.emplace_back(RefuseCall{
      call.id, {reason, run_state, retry_after}, std::move(evidence)});
  this->Finish(call, actions);
}

std::chrono::nanoseconds CallFlow::LongPause(kernel::Instant now,
                                             ServiceState& service) {
  const auto until = service.Router().AllPausedUntil();
  if (!until || *until - now <= service.Queue().MaxWait(now)) return {};
  return *until - now;
}

milliseconds CallFlow::DrawOverloadRetryAfter(kernel::Instant now,
                                              ServiceState& service) {
  const auto pause = std::chrono::ceil<milliseconds>(LongPause(now, service));
  std::uniform_int_distribution<std::int64_t> spread(
      kOverloadRetryAfter.count() / 2, kOverloadRetryAfter.count() * 3 / 2);
  return pause + milliseconds(spread(this->random));
}

// Load pattern: workers refuse part of their calls although most of their slots
// are free. Returning after the usual delay would make callers late without
// reducing the load.
milliseconds CallFlow::DrawRefusedRetryAfter(kernel::Instant now,
                                             ServiceState& service) {
  const bool has_room = this->settings.is_return_prompt &&
                        !service.Router().IsShortOfRoom() &&
                        service.Router().MeanLoad() < kMaxLoadForPromptReturn &&
                        LongPause(now, service).count() == 0;
  if (!has_room) return this->DrawOverloadRetryAfter(now, service);
  std::uniform_int_distribution<std::int64_t> spread(
      kPromptRetryAfter.count() / 2, kPromptRetryAfter.count() * 3 / 2);
  return milliseconds(spread(this->random));
}

std::optional<model::WorkerId> CallFlow::ChooseUntriedWorker(
    kernel::Instant now, const CallState& call) {
  this->excluded.clear();
  for (const AttemptState& attempt : call.attempts)
    this->excluded.push_back(attempt.worker);
  return call.service->Router().Choose(now, this->excluded, this->random,
                                       call.kind->definition.is_idempotent,
                                       DemandOf(call));
}

routing::CallDemand CallFlow::DemandOf(const CallState& call) {
  const model::CallKind& kind = call.kind->definition;
  routing::CallDemand demand;
  demand.work = call.kind->work.Value();
  // Before the first sample, assumes a little less than half of the objective,
  // since an objective leaves room for about as much time again as the work.
  if (demand.work.count() == 0) demand.work = kind.objective * 2 / 5;
  demand.weight = kind.weight;
  demand.deadline = call.deadline;
  // The objective counts from the caller's first try, so it is derived from the
  // deadline: a caller that retries has less time left than the kind allows.
  demand.objective_at = call.deadline;
  if (kind.objective.count() > 0 && kind.objective < kind.deadline)
    demand.objective_at -= kind.deadline - kind.objective;
  return demand;
}

}  // namespace burdockwheel::engine
