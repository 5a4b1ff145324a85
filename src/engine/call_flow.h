// Handles each call from its arrival to its end.
#pragma once

#include <chrono>
#include <memory>
#include <random>
#include <vector>

#include "engine/actions.h"
#include "engine/admission_queue.h"
#include "engine/call_state.h"
#include "engine/call_table.h"
#include "engine/crash_guard.h"
#include "engine/engine_settings.h"
#include "engine/events.h"
#include "engine/timer_queue.h"
#include "kernel/instant.h"
#include "model/refusal.h"
#include "routing/call_demand.h"

namespace burdockwheel::engine {

class ServiceState;

// Admits calls, starts their attempts, retries and hedges, and ends them with
// an answer or a refusal.
class CallFlow {
 public:
  explicit CallFlow(const EngineSettings& settings);

  // `service` is the state of the event's service, or null if the configuration
  // has no such service.
  void HandleCallArrived(kernel::Instant now, const CallArrived& event,
                         const std::shared_ptr<ServiceState>& service,
                         Actions& actions);
  void HandleCallerGone(kernel::Instant now, const CallerGone& event,
                        Actions& actions);
  void HandleAttemptEnded(kernel::Instant now, const AttemptEnded& event,
                          Actions& actions);

  // Handles a timer of the call; does nothing if the timer is out of date.
  void HandleCallTimer(kernel::Instant now, model::CallId id, Actions& actions);

  // Sends waiting calls of the service while workers have room, and refuses
  // those that waited too long.
  void Dispatch(kernel::Instant now, ServiceState& service, Actions& actions);

  // Starts second attempts for running calls of the service where they are
  // likely to bring a better answer. Called after new load reports on the
  // service's workers.
  void ReconsiderHedges(kernel::Instant now, ServiceState& service,
                        Actions& actions);

  // Refuses calls that a queue dropped; a call that has been tried fails with
  // the result of its attempts.
  void EndDroppedCalls(kernel::Instant now, const AdmissionQueue::Calls& calls,
                       Actions& actions);

  // Returns the service of a call, or null if the call is unknown.
  std::shared_ptr<ServiceState> FindServiceOrNull(model::CallId id);

  void BeginStop(kernel::Instant ends_at) { this->stop_at = ends_at; }
  bool HasCalls() const { return this->active_calls > 0; }
  TimerQueue& Timers() { return this->timers; }
  CrashGuard& Guard() { return this->guard; }
  std::mt19937_64& Random() { return this->random; }

 private:
  std::optional<model::Refusal> AdmissionRefusal(
      kernel::Instant now, const CallArrived& event,
      const std::shared_ptr<ServiceState>& service);
  bool ShouldRefuseForDeadline(kernel::Instant now, kernel::Instant deadline,
                               KindState& kind) const;
  void Enqueue(kernel::Instant now, CallState& call, Actions& actions);
  void SendQueued(kernel::Instant now, CallState& call,
                  const model::WorkerId& worker, Actions& actions);
  void BeginAttempt(kernel::Instant now, CallState& call,
                    const model::WorkerId& worker, AttemptCause cause,
                    Actions& actions);
  void ScheduleHedge(kernel::Instant now, CallState& call);
  void HedgeIfUseful(kernel::Instant now, CallState& call, Actions& actions);
  static bool MayHedge(const CallState& call);
  double HedgeGain(kernel::Instant now, const CallState& call);
  // Returns whether the limit that operators have set allows the hedge.
  bool IsWithinHedgeLimit(kernel::Instant now, CallState& call);
  void Retry(kernel::Instant now, CallState& call, Actions& actions);
  void RetryOrFail(kernel::Instant now, CallState& call,
                   const model::AttemptOutcome& outcome, bool was_suspected,
                   Actions& actions);
  void RecordOutcome(kernel::Instant now, CallState& call,
                     const AttemptState& attempt,
                     const model::AttemptOutcome& outcome);
  // Relays the error answer if there is one, otherwise refuses the call.
  void EndWithoutSuccess(kernel::Instant now, CallState& call,
                         Actions& actions);
  // Relays the attempt's answer, unless that would promise the caller of a
  // non-idempotent call that it has not run.
  void Relay(kernel::Instant now, CallState& call, model::AttemptId attempt,
             Actions& actions);
  void Refuse(kernel::Instant now, CallState& call, model::RefusalReason reason,
              std::chrono::milliseconds retry_after, Actions& actions);
  // Marks the call as done and cancels the attempts that are still running.
  void Finish(CallState& call, Actions& actions);
  bool IsHeld(kernel::Instant now, const CallState& call);
  // Returns how long no worker of the service wants a call, if that is longer
  // than a call may wait, else zero.
  static std::chrono::nanoseconds LongPause(kernel::Instant now,
                                            ServiceState& service);
  std::chrono::milliseconds DrawOverloadRetryAfter(kernel::Instant now,
                                                   ServiceState& service);
  // The same after workers have refused a call.
  std::chrono::milliseconds DrawRefusedRetryAfter(kernel::Instant now,
                                                  ServiceState& service);
  static routing::CallDemand DemandOf(const CallState& call);
  std::optional<model::WorkerId> ChooseUntriedWorker(kernel::Instant now,
                                                     const CallState& call);

  EngineSettings settings;
  std::mt19937_64 random;
  CrashGuard guard;
  CallTable calls;
  TimerQueue timers;
  std::size_t active_calls = 0;
  model::AttemptId last_attempt;
  // When a planned stop ends; no call may last longer, so arriving calls with a
  // later deadline are refused.
  kernel::Instant stop_at = kernel::Instant::max();
  std::vector<model::WorkerId> excluded;  // reused by ChooseUntriedWorker
};

}  // namespace burdockwheel::engine
