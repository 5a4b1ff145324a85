#include "engine/call_engine.h"

#include <boost/test/unit_test.hpp>

#include "engine/crash_guard.h"
#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

using model::AttemptResult;
using model::RefusalReason;
using model::RunState;
using std::chrono::milliseconds;
using testing::Answer;
using testing::Failure;

namespace {

constexpr std::size_t kRead = 0;
constexpr std::size_t kBooking = 1;
const model::ServiceName kService{"calendar"};

model::ServiceDefinition Definition() {
  model::ServiceDefinition service;
  service.name = kService;
  model::CallKind read;
  read.name = "read";
  read.is_idempotent = true;
  read.hedge_after = milliseconds(50);
  model::CallKind booking;
  booking.name = "booking";
  service.kinds = {read, booking};
  return service;
}

struct EngineFixture {
  EngineFixture() : host(loop, testing::MakeSettings(1)) {
    this->host.Handle(
        ConfigurationAccepted{testing::MakeConfiguration(Definition())});
    this->host.Handle(testing::MakeWorkers(kService, 4));
    // Waits until the workers' slow start is over.
    this->loop.RunFor(std::chrono::minutes(5));
  }

  model::CallId Call(std::size_t kind,
                     milliseconds deadline = milliseconds(1000),
                     int depth = 0) {
    return this->host.Call(
        {{}, kService, kind, this->loop.Now() + deadline, depth, 42});
  }

  void EndLast(const model::AttemptOutcome& outcome) {
    this->host.EndAttempt(StartAttempt(this->host.started.back()), outcome);
  }

  void CheckRefused(model::CallId call, RefusalReason reason,
                    RunState run_state) const {
    const auto* call_result = this->host.ResultOrNull(call);
    BOOST_REQUIRE(call_result != nullptr);
    BOOST_TEST(!call_result->relayed.has_value());
    BOOST_TEST((call_result->refusal.reason == reason));
    BOOST_TEST((call_result->refusal.run_state == run_state));
  }

  // Earns tokens for retries.
  void Succeed(int calls) {
    for (int call = 0; call < calls; ++call) {
      this->Call(kRead);
      this->EndLast(Answer());
    }
    this->host.started.clear();
  }

  testing::EventLoop loop;
  testing::FakeHost host;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallEngineTest, EngineFixture)

BOOST_AUTO_TEST_CASE(RelaysACompleteAnswer) {
  const auto call = this->Call(kBooking);
  BOOST_TEST(this->host.HasCalls());
  this->EndLast(Answer());
  BOOST_TEST(this->host.ResultOrNull(call)->relayed.has_value());
  BOOST_TEST(!this->host.HasCalls());
}

BOOST_AUTO_TEST_CASE(RetriesAnIdempotentCallOnAnotherWorker) {
  const auto call = this->Call(kRead);
  this->EndLast(Failure(AttemptResult::kNotSent));
  BOOST_REQUIRE(this->host.started.size() == 2U);
  BOOST_TEST(this->host.started[0].worker.value !=
             this->host.started[1].worker.value);
  BOOST_TEST((this->host.started[1].cause == AttemptCause::kRetry));
  this->EndLast(Answer());
  BOOST_TEST(this->host.ResultOrNull(call)->status == 200);
}

BOOST_AUTO_TEST_CASE(NeverRetriesANonIdempotentCallThatMayHaveRun) {
  for (const auto result : {AttemptResult::kBroken, AttemptResult::kTimedOut,
                            AttemptResult::kCancelled}) {
    const std::size_t before = this->host.started.size();
    const auto call = this->Call(kBooking);
    this->EndLast(Failure(result));
    this->loop.RunFor(milliseconds(200));
    BOOST_TEST(this->host.started.size() == before + 1);
    BOOST_TEST((this->host.ResultOrNull(call)->refusal.run_state ==
                RunState::kUnknown));
  }
}

BOOST_AUTO_TEST_CASE(RetriesANonIdempotentCallThatDidNotRun) {
  const auto call = this->Call(kBooking);
  this->EndLast(Failure(AttemptResult::kRefused));
  BOOST_TEST(this->host.started.size() == 2U);
  this->EndLast(Failure(AttemptResult::kNotSent));
  BOOST_TEST(this->host.started.size() == 3U);
  this->EndLast(Failure(AttemptResult::kRefused));
  BOOST_TEST(this->host.started.size() == 3U);
  this->CheckRefused(call, RefusalReason::kOverloaded, RunState::kNotRun);
}

BOOST_AUTO_TEST_CASE(DoesNotRetryWhenALowerLevelForbidsIt) {
  const auto call = this->Call(kRead);
  auto outcome = Failure(AttemptResult::kRefused);
  outcome.is_retry_forbidden = true;
  this->EndLast(outcome);
  BOOST_TEST(this->host.started.size() == 1U);
  this->CheckRefused(call, RefusalReason::kOverloaded, RunState::kNotRun);
}

BOOST_AUTO_TEST_CASE(RelaysTheErrorAnswerIfNoBetterOneComes) {
  const auto call = this->Call(kRead);
  this->EndLast(Answer(503));
  this->EndLast(Failure(AttemptResult::kNotSent));
  this->EndLast(Failure(AttemptResult::kNotSent));
  BOOST_TEST(this->host.started.size() == 3U);
  BOOST_TEST(this->host.ResultOrNull(call)->status == 503);
}

// A worker's own 503 reached the caller of a booking that had run, who would
// have booked again.
BOOST_AUTO_TEST_CASE(RelaysNoPromiseOfNotRunForACallThatMayHaveRun) {
  for (const int status : {408, 429, 503}) {
    auto outcome = Answer(status);
    outcome.is_promise_of_not_run = true;
    const auto booking = this->Call(kBooking);
    this->EndLast(outcome);
    this->CheckRefused(booking, RefusalReason::kWorkerFailed,
                       RunState::kUnknown);
    // A retry that found no room must not bring the promise back.
    const auto retried = this->Call(kBooking);
    this->EndLast(Failure(AttemptResult::kRefused));
    this->EndLast(outcome);
    this->CheckRefused(retried, RefusalReason::kWorkerFailed,
                       RunState::kUnknown);
    // What may run twice loses nothing by the worker's own word.
    const auto read = this->Call(kRead);
    while (this->host.ResultOrNull(read) == nullptr) this->EndLast(outcome);
    BOOST_TEST(this->host.ResultOrNull(read)->status == status);
  }
  BOOST_TEST(!this->host.HasCalls());
}

BOOST_AUTO_TEST_CASE(HedgesASlowReadAndCancelsTheSlowerAttempt) {
  const auto call = this->Call(kRead);
  this->loop.RunFor(milliseconds(49));
  BOOST_TEST(this->host.started.size() == 1U);
  this->loop.RunFor(milliseconds(2));
  BOOST_REQUIRE(this->host.started.size() == 2U);
  BOOST_TEST((this->host.started[1].cause == AttemptCause::kHedge));
  this->EndLast(Answer());
  BOOST_TEST(this->host.ResultOrNull(call)->status == 200);
  BOOST_REQUIRE(this->host.cancelled.size() == 1U);
  BOOST_TEST(
      (this->host.cancelled[0].attempt == this->host.started[0].attempt));
}

BOOST_AUTO_TEST_CASE(DoesNotRelayAnErrorAnswerWhileAnAttemptRuns) {
  const auto call = this->Call(kRead);
  this->loop.RunFor(milliseconds(51));
  BOOST_REQUIRE(this->host.started.size() == 2U);
  this->host.EndAttempt(StartAttempt(this->host.started[0]), Answer(500));
  BOOST_TEST(this->host.ResultOrNull(call) == nullptr);
  this->host.EndAttempt(StartAttempt(this->host.started[1]), Answer(200));
  BOOST_TEST(this->host.ResultOrNull(call)->status == 200);
}

BOOST_AUTO_TEST_CASE(NeverHedgesANonIdempotentCall) {
  this->Call(kBooking);
  this->loop.RunFor(milliseconds(500));
  BOOST_TEST(this->host.started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(PaysHedgesFromTheRetryBudget) {
  for (int call = 0; call < 20; ++call) this->Call(kRead);
  this->loop.RunFor(milliseconds(100));
  BOOST_TEST(this->host.started.size() == 23U);
}

BOOST_AUTO_TEST_CASE(RefusesTooDeepAndLateCalls) {
  this->CheckRefused(this->Call(kRead, milliseconds(1000), 7),
                     RefusalReason::kTooDeep, RunState::kNotRun);
  this->CheckRefused(this->Call(kRead, milliseconds(0)),
                     RefusalReason::kDeadlineExceeded, RunState::kNotRun);
  this->Succeed(50);
  this->CheckRefused(this->Call(kRead, milliseconds(5)),
                     RefusalReason::kDeadlineExceeded, RunState::kNotRun);
  BOOST_TEST(this->host.started.empty());
}

BOOST_AUTO_TEST_CASE(SendsATrialCallDespiteTheServiceTimeEstimate) {
  this->Succeed(50);
  for (int call = 0; call < 20; ++call) this->Call(kRead, milliseconds(5));
  BOOST_TEST(this->host.started.size() == 1U);
}

BOOST_AUTO_TEST_CASE(CancelsAnIdempotentCallWhenItsCallerDisconnects) {
  const auto call = this->Call(kRead);
  this->host.Handle(CallerGone{call});
  BOOST_TEST(this->host.cancelled.size() == 1U);
  BOOST_TEST(!this->host.HasCalls());
  this->EndLast(Failure(AttemptResult::kCancelled));
  BOOST_TEST(this->host.results.empty());
}

BOOST_AUTO_TEST_CASE(CompletesANonIdempotentCallAfterItsCallerDisconnects) {
  const auto call = this->Call(kBooking);
  this->host.Handle(CallerGone{call});
  BOOST_TEST(this->host.cancelled.empty());
  this->EndLast(Answer());
  BOOST_TEST(this->host.ResultOrNull(call)->status == 200);
}

BOOST_AUTO_TEST_CASE(APlannedStopCompletesEveryCall) {
  const auto call = this->Call(kBooking);
  this->host.Handle(StopBegun{});
  this->CheckRefused(this->Call(kRead), RefusalReason::kHostStopping,
                     RunState::kNotRun);
  BOOST_TEST(this->host.cancelled.empty());
  BOOST_TEST(this->host.HasCalls());
  this->EndLast(Answer());
  BOOST_TEST(this->host.ResultOrNull(call)->status == 200);
  BOOST_TEST(!this->host.HasCalls());
}

// Guards against a fault in which a call accepted late in a planned stop was
// aborted because it was still running when the process exited.
BOOST_AUTO_TEST_CASE(APlannedStopTakesOnlyCallsThatEndBeforeIt) {
  this->host.Handle(StopBegun{this->loop.Now() + milliseconds(1500)});
  // The fixture's calls have a deadline of one second.
  const auto taken = this->Call(kBooking);
  BOOST_TEST(this->host.ResultOrNull(taken) == nullptr);
  this->loop.RunFor(milliseconds(600));
  this->CheckRefused(this->Call(kBooking), RefusalReason::kHostStopping,
                     RunState::kNotRun);
}

BOOST_AUTO_TEST_CASE(QueuesCallsBeyondWorkerCapacityThenSendsOrRefusesThem) {
  std::vector<model::CallId> calls;
  while (calls.size() < 2000) calls.push_back(this->Call(kBooking));
  const std::size_t sent = this->host.started.size();
  BOOST_TEST(sent < 200U);
  this->EndLast(Answer());
  BOOST_TEST(this->host.started.size() == sent + 1);
  this->host.Handle(CallerGone{calls.back()});
  this->CheckRefused(calls.back(), RefusalReason::kOverloaded,
                     RunState::kNotRun);
  this->loop.RunFor(milliseconds(250));
  for (const auto call : calls) {
    const auto* call_result = this->host.ResultOrNull(call);
    if (call_result == nullptr || call_result->relayed) continue;
    this->CheckRefused(call, RefusalReason::kOverloaded, RunState::kNotRun);
    BOOST_TEST(call_result->attempts == 0);
  }
  BOOST_TEST(this->host.results.size() > 1700U);
}

BOOST_AUTO_TEST_CASE(RefusesWithoutAWorkerOrARoute) {
  this->CheckRefused(this->Call(7), RefusalReason::kNoSuchRoute,
                     RunState::kNotRun);
  this->host.Handle(WorkersListed{});
  this->CheckRefused(this->Call(kRead), RefusalReason::kNoWorker,
                     RunState::kNotRun);
}

BOOST_AUTO_TEST_CASE(RetriesABrokenReadOnceThenRefusesItsFingerprint) {
  const auto call = this->Call(kRead);
  this->EndLast(Failure(AttemptResult::kBroken));
  BOOST_TEST(this->host.started.size() == 1U);
  this->loop.RunFor(CrashGuard::kRetryDelay);
  BOOST_TEST(this->host.started.size() == 2U);
  this->EndLast(Failure(AttemptResult::kBroken));
  this->loop.RunFor(CrashGuard::kRetryDelay);
  BOOST_TEST(this->host.started.size() == 2U);
  this->CheckRefused(call, RefusalReason::kSuspectedCrashingCall,
                     RunState::kUnknown);
  this->CheckRefused(this->Call(kRead), RefusalReason::kSuspectedCrashingCall,
                     RunState::kNotRun);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
