#include "routing/service_router.h"

#include <boost/test/unit_test.hpp>

#include "routing/fake_workers.h"

namespace burdockwheel::routing {

namespace {

using model::AttemptResult;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns the calls to a worker that refuses all at once and claims idleness,
// from the moment when it begins.
int CallsToBlackHole(const RouterSettings& settings) {
  FakeWorkers workers(6, settings);
  workers.definition.routing_policy = "two-choices";
  workers.router.UpdateDefinition(workers.now, workers.definition, 25);
  workers.Run(seconds(2));
  workers.TakeCalls(0);
  workers.behaviours[workers.Address(0)] = {
      milliseconds(1), AttemptResult::kRefused, {0, 0, false}};
  workers.Run(seconds(10));
  return workers.TakeCalls(0);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ServiceRouterTest)

BOOST_AUTO_TEST_CASE(FivePoliciesAreRegisteredAndUnknownNamesGetTheDefault) {
  for (const auto* name : {"random", "two-choices", "probe-pool",
                           "expected-delay", "expected-worth"}) {
    FakeWorkers workers(6);
    workers.definition.routing_policy = name;
    BOOST_TEST(RoutingPolicyRegistry::IsRegistered(name));
    workers.router.UpdateDefinition(workers.now, workers.definition, 25);
    workers.Run(seconds(1));
    BOOST_TEST(workers.blocked == 0);
    for (int index = 0; index < 6; ++index)
      BOOST_TEST(workers.TakeCalls(index) > 20);
  }
  FakeWorkers workers(6);
  workers.definition.routing_policy = "no-such-policy";
  workers.router.UpdateDefinition(workers.now, workers.definition, 25);
  workers.Run(milliseconds(100));
  BOOST_TEST(workers.blocked == 0);
}

BOOST_AUTO_TEST_CASE(OwnCallsInFlightStayWithinTheShareOfConnections) {
  for (const bool is_slot_limit_held : {true, false}) {
    RouterSettings settings;
    settings.is_slot_limit_held = is_slot_limit_held;
    FakeWorkers workers(1, settings);
    workers.behaviours[workers.Address(0)].latency = seconds(100);
    workers.Run(seconds(1));
    // The slots and their allowance bind first where they are held.
    BOOST_TEST(workers.TakeCalls(0) == (is_slot_limit_held ? 8 : 10));
    BOOST_TEST(!workers.router.HasRoom(workers.now));
    BOOST_TEST(workers.router.HasWorkers());
    BOOST_TEST(workers.router.NextWake().has_value());
  }
}

BOOST_AUTO_TEST_CASE(WorkersReportedFullGetASingleCallUntilTheReportIsStale) {
  FakeWorkers workers(1);
  auto& behaviour = workers.behaviours[workers.Address(0)];
  behaviour.report = {6, 20, false};
  workers.Start(workers.Address(0));
  workers.Run(seconds(10), milliseconds(1));
  const int calls = workers.TakeCalls(0);
  // A call takes 10 ms and the report is believed for 5 ms more.
  BOOST_TEST(calls > 500);
  BOOST_TEST(calls < 900);
}

// The worker has ended, and its record lags; three calls of each host would be
// lost on it.
BOOST_AUTO_TEST_CASE(OneMisdirectedCallEjectsAWorker) {
  FakeWorkers workers(4);
  workers.Run(seconds(30));
  const auto& address = workers.Address(0);
  const model::AttemptId attempt{std::uint64_t{1} << 32U};
  workers.router.AttemptStarted(workers.now, address, attempt);
  model::AttemptOutcome outcome;
  outcome.result = AttemptResult::kMisdirected;
  outcome.status = 421;
  workers.router.AttemptEnded(workers.now, address, attempt, outcome);
  BOOST_TEST((workers.router.StandingOf(address) == Standing::kEjected));
}

// A worker that never answers what it cannot queue is full, not broken; drained
// of all calls, it would leave its load to others that are full too.
BOOST_AUTO_TEST_CASE(WorkerThatFallsSilentWhenFullKeepsItsStanding) {
  for (const bool is_full : {true, false}) {
    FakeWorkers workers(4);
    workers.Run(seconds(30));
    const auto& address = workers.Address(0);
    for (std::uint64_t number = 1; number <= 5; ++number) {
      if (is_full)
        workers.router.ObserveProbe(workers.now, address, {6, 12, false}, {});
      const model::AttemptId attempt{number << 32U};
      workers.router.AttemptStarted(workers.now, address, attempt);
      model::AttemptOutcome silence;
      silence.result = AttemptResult::kTimedOut;
      workers.now += milliseconds(50);
      workers.router.AttemptEnded(workers.now, address, attempt, silence);
    }
    const bool is_ejected =
        workers.router.StandingOf(address) == Standing::kEjected;
    BOOST_TEST(is_ejected == !is_full);
  }
}

// 19 hosts with one call each at every worker would be three times its slots.
BOOST_AUTO_TEST_CASE(HostAsksFullWorkersOnlyWithinItsShareOfTheSlots) {
  for (const bool is_bounded : {true, false}) {
    RouterSettings settings;
    if (!is_bounded) settings.asking_share = 100;
    FakeWorkers workers(6, settings);
    for (int index = 0; index < 6; ++index) {
      const auto& address = workers.Address(index);
      workers.behaviours[address].latency = seconds(100);
      workers.router.ObserveProbe(workers.now, address, {6, 20, false}, {});
    }
    workers.Run(seconds(1));
    int asked = 0;
    for (int index = 0; index < 6; ++index) asked += workers.TakeCalls(index);
    BOOST_TEST((asked <= 3) == is_bounded);
  }
}

// With the ejection off the fast failures go on for as long as the fault.
BOOST_AUTO_TEST_CASE(WorkerThatRefusesAtOnceDoesNotAttractCalls) {
  BOOST_TEST(CallsToBlackHole({}) <= 10);
  RouterSettings unprotected;
  unprotected.standing.is_ejecting = false;
  BOOST_TEST(CallsToBlackHole(unprotected) > 500);
}

// The penalty is what keeps the default policy away before the ejection.
BOOST_AUTO_TEST_CASE(SingleFailureMakesAWorkerLessWantedForSeconds) {
  for (const bool is_penalized : {true, false}) {
    RouterSettings settings;
    settings.standing.is_failure_penalized = is_penalized;
    FakeWorkers workers(6, settings);
    workers.Run(seconds(2));
    const auto& address = workers.Address(0);
    workers.router.AttemptStarted(workers.now, address, {1'000'000});
    workers.router.AttemptEnded(workers.now, address, {1'000'000},
                                {AttemptResult::kNotSent, 0, {}, {}});
    workers.TakeCalls(0);
    workers.Run(seconds(2));
    BOOST_TEST((workers.TakeCalls(0) < 20) == is_penalized);
    workers.Run(seconds(8));
    workers.TakeCalls(0);
    workers.Run(seconds(2));
    BOOST_TEST(workers.TakeCalls(0) > 100);
  }
}

BOOST_AUTO_TEST_CASE(EjectedWorkerComesBackAfterItsFaultByTrialAndRamp) {
  FakeWorkers workers(6);
  workers.behaviours[workers.Address(0)].result = AttemptResult::kRefused;
  workers.Run(seconds(40));
  BOOST_TEST(
      (workers.router.StandingOf(workers.Address(0)) == Standing::kEjected));
  workers.behaviours[workers.Address(0)].result = AttemptResult::kAnswered;
  workers.Run(seconds(20));
  BOOST_TEST(
      (workers.router.StandingOf(workers.Address(0)) == Standing::kActive));
  workers.TakeCalls(0);
  workers.Run(seconds(6));
  BOOST_TEST(workers.TakeCalls(0) > 350);
}

// One failing worker after another, so that peers' failures do not excuse them.
BOOST_AUTO_TEST_CASE(MistakenSuspicionLeavesHalfOfTheWorkersIn) {
  for (const bool is_floor_held : {true, false}) {
    RouterSettings settings;
    settings.standing.is_floor_held = is_floor_held;
    FakeWorkers workers(6, settings);
    workers.Run(seconds(1));
    for (int index = 0; index < 6; ++index) {
      for (std::uint64_t count = 0; count < 40; ++count) {
        const model::AttemptId attempt{1'000'000 + count};
        const auto& address = workers.Address(index);
        workers.router.AttemptStarted(workers.now, address, attempt);
        workers.router.AttemptEnded(workers.now, address, attempt,
                                    {AttemptResult::kNotSent, 0, {}, {}});
      }
    }
    int ejected = 0;
    for (int index = 0; index < 6; ++index) {
      const auto standing = workers.router.StandingOf(workers.Address(index));
      if (standing == Standing::kEjected) ++ejected;
    }
    BOOST_TEST((ejected <= 3) == is_floor_held);
  }
}

BOOST_AUTO_TEST_CASE(FailureOfAllWorkersAlikeEjectsFew) {
  FakeWorkers workers(6);
  workers.Run(seconds(1));
  for (int index = 0; index < 6; ++index)
    workers.behaviours[workers.Address(index)].result = AttemptResult::kBroken;
  workers.Run(seconds(5));
  BOOST_TEST(workers.router.HasWorkers());
  BOOST_TEST(workers.blocked == 0);
}

BOOST_AUTO_TEST_CASE(DrainHasNoFloor) {
  FakeWorkers workers(6);
  for (int index = 0; index < 6; ++index)
    workers.behaviours[workers.Address(index)].report.is_draining = true;
  workers.Run(seconds(1));
  BOOST_TEST(!workers.router.HasWorkers());
  BOOST_TEST(!workers.router.HasRoom(workers.now));
  BOOST_TEST(workers.router.TakeChanges().size() == 6U);
}

BOOST_AUTO_TEST_CASE(WorkerThatDrainsGetsNoCallAfterItsFirstWord) {
  FakeWorkers workers(6);
  workers.Run(seconds(1));
  workers.router.ObserveProbe(workers.now, workers.Address(0), {0, 0, true},
                              milliseconds(1));
  workers.TakeCalls(0);
  for (int second = 0; second < 20; ++second) {
    workers.router.UpdateWorkers(workers.now, workers.records);
    workers.Run(seconds(1));
  }
  BOOST_TEST(workers.TakeCalls(0) == 0);
}

BOOST_AUTO_TEST_CASE(DoubtfulWorkersAreUsedWhereNoOtherIs) {
  FakeWorkers workers(4);
  workers.records[0].is_doubtful = true;
  workers.records[1].is_doubtful = true;
  workers.router.UpdateWorkers(workers.now, workers.records);
  workers.Run(std::chrono::seconds(2));
  BOOST_TEST(workers.TakeCalls(0) + workers.TakeCalls(1) == 0);
  BOOST_TEST(workers.blocked == 0);
  for (auto& record : workers.records) record.is_doubtful = true;
  workers.router.UpdateWorkers(workers.now, workers.records);
  workers.Run(std::chrono::seconds(2));
  BOOST_TEST(workers.TakeCalls(0) > 100);
}

BOOST_AUTO_TEST_CASE(VanishedWorkersAreForgottenOnceTheirCallsHaveEnded) {
  FakeWorkers workers(6);
  workers.Run(seconds(1));
  const auto vanished = workers.Address(5);
  workers.records.pop_back();
  workers.router.UpdateWorkers(workers.now, workers.records);
  BOOST_TEST((workers.router.StandingOf(vanished) == Standing::kDraining));
  workers.Run(seconds(3));
  workers.router.UpdateWorkers(workers.now, workers.records);
  BOOST_TEST(!workers.router.StandingOf(vanished).has_value());
}

BOOST_AUTO_TEST_CASE(TenfoldSlowDownIsLeftWithinTensOfCalls) {
  FakeWorkers workers(6);
  const auto gap = std::chrono::microseconds(500);
  workers.Run(seconds(2), gap);
  workers.TakeCalls(0);
  workers.behaviours[workers.Address(0)].latency = milliseconds(100);
  workers.Run(seconds(4), gap);
  BOOST_TEST(workers.TakeCalls(0) <= 24);
  BOOST_TEST(
      (workers.router.StandingOf(workers.Address(0)) == Standing::kSlow));
  workers.behaviours[workers.Address(0)].latency = milliseconds(10);
  workers.Run(seconds(60), gap);
  BOOST_TEST(
      (workers.router.StandingOf(workers.Address(0)) == Standing::kActive));
  workers.TakeCalls(0);
  workers.Run(seconds(2), gap);
  BOOST_TEST(workers.TakeCalls(0) > 400);
}

// A worker that is merely little wanted must not be forgotten for good.
BOOST_AUTO_TEST_CASE(SlowDownAtLittleLoadIsForgivenAfterIt) {
  FakeWorkers workers(6);
  workers.Run(seconds(2));
  workers.behaviours[workers.Address(0)].latency = milliseconds(100);
  workers.Run(seconds(4));
  workers.behaviours[workers.Address(0)].latency = milliseconds(10);
  workers.Run(seconds(60));
  workers.TakeCalls(0);
  workers.Run(seconds(2));
  BOOST_TEST(workers.TakeCalls(0) > 100);
}

BOOST_AUTO_TEST_CASE(ClaimOfIdlenessDoesNotAttractCallsToASlowWorker) {
  FakeWorkers workers(6);
  for (int index = 1; index < 6; ++index)
    workers.behaviours[workers.Address(index)].report = {5, 0, false};
  workers.behaviours[workers.Address(0)] = {
      milliseconds(40), AttemptResult::kAnswered, {0, 0, false}};
  workers.Run(seconds(2));
  workers.TakeCalls(0);
  workers.Run(seconds(10));
  BOOST_TEST(workers.TakeCalls(0) < 5000 / 6 / 10);
}

BOOST_AUTO_TEST_CASE(ColdStartTakesFewCallsAtFirst) {
  for (const bool is_ramping : {true, false}) {
    RouterSettings settings;
    settings.standing.is_ramping = is_ramping;
    FakeWorkers workers(6, settings);
    const auto cold = workers.records.back();
    workers.records.pop_back();
    workers.router.UpdateWorkers(workers.now, workers.records);
    workers.Run(seconds(3));
    workers.router.UpdateWorkers(workers.now, workers.records);
    workers.records.push_back(cold);
    workers.router.UpdateWorkers(workers.now, workers.records);
    workers.TakeCalls(5);
    workers.Run(seconds(1));
    BOOST_TEST((workers.TakeCalls(5) < 500 / 6 / 2) == is_ramping);
  }
}

BOOST_AUTO_TEST_CASE(CallsStayInTheirDomainWhileItHasRoom) {
  FakeWorkers workers(6, {}, 3);
  workers.Run(seconds(5));
  BOOST_TEST(workers.TakeCalls(0) > 1000);
  BOOST_TEST(workers.TakeCalls(3) > 1000);
  for (const int remote : {1, 2, 4, 5})
    BOOST_TEST(workers.TakeCalls(remote) < 10);
}

BOOST_AUTO_TEST_CASE(LossAndReturnOfTheOwnDomainMoveCallsBothWays) {
  FakeWorkers workers(6, {}, 3);
  workers.Run(seconds(5));
  const auto all = workers.records;
  std::erase_if(workers.records, [](const auto& record) {
    return record.failure_domain.value == "domain-0";
  });
  workers.router.UpdateWorkers(workers.now, workers.records);
  workers.Run(seconds(5));
  // The shift takes a quarter of a second at 500 calls a second.
  BOOST_TEST(workers.blocked > 20);
  BOOST_TEST(workers.blocked < 125);
  workers.records = all;
  workers.router.UpdateWorkers(workers.now, workers.records);
  workers.TakeCalls(0);
  workers.Run(seconds(1));
  BOOST_TEST(workers.TakeCalls(0) < 200);
  workers.Run(seconds(30));
  workers.TakeCalls(1);
  workers.Run(seconds(5));
  BOOST_TEST(workers.TakeCalls(1) < 25);
}

BOOST_AUTO_TEST_CASE(ProbesStayWithinTheBudgetWhileEverythingFails) {
  FakeWorkers workers(20);
  workers.definition.routing_policy = "probe-pool";
  workers.router.UpdateDefinition(workers.now, workers.definition, 25);
  for (int index = 0; index < 20; ++index)
    workers.behaviours[workers.Address(index)].result = AttemptResult::kBroken;
  std::size_t probes = 0;
  for (int step = 0; step < 10'000; ++step) {
    workers.Run(milliseconds(2));
    probes +=
        workers.router.TakeWantedProbes(workers.now, workers.random).size();
  }
  // 10,000 calls in 20 s.
  BOOST_TEST(probes <= 500U + 20U + 1U);
  BOOST_TEST(probes > 250U);
  BOOST_TEST(workers.router.Budget().SentCount() == probes);
}

// A queue asks again with each event; only a call that starts grants a share.
BOOST_AUTO_TEST_CASE(CallsThatFindNoWorkerGrantNoProbes) {
  FakeWorkers workers(1);
  workers.behaviours[workers.Address(0)].latency = seconds(100);
  workers.Run(milliseconds(999), std::chrono::microseconds(100));
  BOOST_TEST(workers.blocked > 9000);
  const auto probes =
      workers.router.TakeWantedProbes(workers.now, workers.random);
  BOOST_TEST(probes.empty());
  BOOST_TEST(workers.router.Budget().RefusedCount() == 0U);
  auto budget = workers.router.Budget();
  BOOST_TEST(budget.Available(workers.now) == 0);
}

BOOST_AUTO_TEST_CASE(SameEventsAndSeedGiveTheSameChoices) {
  FakeWorkers first(20);
  FakeWorkers second(20);
  first.Run(seconds(5));
  second.Run(seconds(5));
  for (int index = 0; index < 20; ++index)
    BOOST_TEST(first.TakeCalls(index) == second.TakeCalls(index));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
