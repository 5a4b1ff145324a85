// Implements the hedges of CallFlow.
#include <algorithm>
#include <utility>

#include "engine/call_flow.h"
#include "engine/hedge_budget.h"
#include "engine/service_state.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;

// A hedge must be expected to raise the value of the answer by at least this
// share of the value of an answer in time. The budget allows hedges for a fifth
// of the calls.
constexpr double kMinHedgeGain = 0.3;
// A call is checked for a hedge this many expected service times after its
// attempt started, even if no new load report on its worker has arrived.
constexpr int kHedgeCheckWorkMultiple = 3;

}  // namespace

void CallFlow::ScheduleHedge(kernel::Instant now, CallState& call) {
  call.timer_at = kernel::Instant::max();
  const model::CallKind& kind = call.kind->definition;
  if (!MayHedge(call)) return;
  if (kind.hedge_after > milliseconds(0)) {
    call.timer_at = now + call.kind->HedgeDelay();
  } else if (this->settings.load_watch.interval.count() > 0) {
    auto delay = DemandOf(call).work * kHedgeCheckWorkMultiple;
    // Most answers have come by then; a load report may bring a check sooner.
    const auto& slow = call.kind->slow_latency;
    if (call.service->Hedges() && slow.HasValue())
      delay = std::min(delay, slow.Value());
    call.timer_at = now + delay;
  } else {
    return;
  }
  if (call.timer_at < call.deadline)
    this->timers.Push({call.timer_at, call.id, nullptr});
}

// Starts a second attempt after a delay within which most answers arrive (Dean
// and Barroso, "The Tail at Scale", CACM 56(2), 2013).
void CallFlow::HedgeIfUseful(kernel::Instant now, CallState& call,
                             Actions& actions) {
  ServiceState& service = *call.service;
  if (!MayHedge(call) || !service.Queue().IsEmpty()) return;
  if (this->guard.IsSuspected(now, call.fingerprint)) return;
  const bool is_timed = call.kind->definition.hedge_after > milliseconds(0);
  if (service.Hedges()) {
    if (!this->IsWithinHedgeLimit(now, call)) return;
  } else if (!is_timed && this->HedgeGain(now, call) < kMinHedgeGain) {
    return;
  }
  const auto worker = this->ChooseUntriedWorker(now, call);
  if (!worker || !service.Budget().TrySpend(ExtraAttempt::kHedge)) return;
  this->BeginAttempt(now, call, *worker, AttemptCause::kHedge, actions);
  if (!service.Hedges()) return;
  auto& attempt = call.attempts.back();
  attempt.expected_work = DemandOf(call).work;
  service.Hedges()->RecordStart(attempt.expected_work);
}

bool CallFlow::IsWithinHedgeLimit(kernel::Instant now, CallState& call) {
  ServiceState& service = *call.service;
  // Hedges would take the slots that first tries need.
  if (service.Router().IsShortOfRoom()) return false;
  const auto& fastest = call.kind->fast_latency;
  const auto least =
      fastest.HasValue() ? fastest.Value() : std::chrono::nanoseconds(0);
  if (now + least >= DemandOf(call).objective_at) return false;
  const double gain = this->HedgeGain(now, call);
  if (gain < HedgeBudget::kMinGainWhenFull) return false;
  const auto min_gain = service.Hedges()->MinGain();
  if (min_gain && gain >= *min_gain) return true;
  if (!std::exchange(call.was_hedge_denied, true))
    service.Hedges()->RecordDenial();
  return false;
}

bool CallFlow::MayHedge(const CallState& call) {
  const model::CallKind& kind = call.kind->definition;
  return call.phase == CallPhase::kSent && kind.is_idempotent &&
         kind.most_attempts > 1 && call.running_attempts == 1 &&
         call.attempts.size() == 1;
}

double CallFlow::HedgeGain(kernel::Instant now, const CallState& call) {
  const AttemptState& attempt = call.attempts.front();
  return call.service->Router().GainOfSecond(now, attempt.worker, attempt.id,
                                             {attempt.worker}, DemandOf(call));
}

void CallFlow::ReconsiderHedges(kernel::Instant now, ServiceState& service,
                                Actions& actions) {
  if (service.Budget().Tokens() < 1) return;
  this->calls.ForEach([this, now, &service, &actions](CallState& call) {
    if (call.service.get() != &service || !MayHedge(call)) return;
    this->HedgeIfUseful(now, call, actions);
  });
}

}  // namespace burdockwheel::engine
