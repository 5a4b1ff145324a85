#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstddef>

#include "routing/fake_workers.h"

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(ExpectedWorthPolicyTest)

BOOST_AUTO_TEST_CASE(CallsGoBackOverKeptConnectionsWhereNewOnesHaveAPrice) {
  std::size_t used_without_price = 0;
  for (const double price : {0.0, 0.04}) {
    FakeWorkers workers(60);
    workers.definition.routing_policy = "expected-worth";
    workers.definition.connection_price = price;
    workers.router.UpdateDefinition(workers.now, workers.definition, 25);
    workers.Run(milliseconds(500));
    std::size_t used = 0;
    for (int index = 0; index < 60; ++index) {
      if (workers.TakeCalls(index) > 0) used += 1;
    }
    if (price == 0) used_without_price = used;
    if (price > 0) BOOST_TEST(used < used_without_price * 2 / 3);
  }
}

BOOST_AUTO_TEST_CASE(EachWorkerGetsCallsThoughNewConnectionsHaveAPrice) {
  FakeWorkers workers(20);
  workers.definition.routing_policy = "expected-worth";
  workers.definition.connection_price = 0.04;
  workers.router.UpdateDefinition(workers.now, workers.definition, 25);
  // A joiner must get calls within 4 s from the hosts together, of which there
  // are five at least.
  workers.Run(seconds(20));
  for (int index = 0; index < 20; ++index)
    BOOST_TEST(workers.TakeCalls(index) > 0);
}

// A host that has just started has reports of a few workers; the others may be
// slowed as well as any.
BOOST_AUTO_TEST_CASE(WorkerWithoutAReportIsNotTakenForOneAtItsUsualSpeed) {
  FakeWorkers workers(4);
  workers.definition.routing_policy = "expected-worth";
  workers.router.UpdateDefinition(workers.now, workers.definition, 25);
  workers.now += milliseconds(10);
  const model::WorkerReport usual{.calls_in_flight = 2, .slowdown = 1.0};
  const model::WorkerReport slowed{.calls_in_flight = 2, .slowdown = 7.0};
  workers.router.ObserveProbe(workers.now, workers.Address(0), usual, {});
  workers.router.ObserveProbe(workers.now, workers.Address(1), usual, {});
  workers.router.ObserveProbe(workers.now, workers.Address(2), slowed, {});
  CallDemand demand;
  demand.work = milliseconds(100);
  demand.objective_at = workers.now + milliseconds(300);
  demand.deadline = workers.now + seconds(1);
  int without_report = 0;
  constexpr int kChoices = 100;
  for (int choice = 0; choice < kChoices; ++choice) {
    const auto chosen =
        workers.router.Choose(workers.now, {}, workers.random, false, demand);
    BOOST_REQUIRE(chosen.has_value());
    BOOST_TEST((*chosen != workers.Address(2)));
    if (*chosen == workers.Address(3)) ++without_report;
  }
  BOOST_TEST(without_report < kChoices / 10);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
