#include "routing/worker_standing.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::Instant kStart{std::chrono::hours(1)};

// One worker's standing with the changes that it reported.
struct Fixture {
  explicit Fixture(bool is_established = true)
      : standing(kStart, settings, {"10.0.0.1:80"}, is_established) {}

  void Fail(kernel::Instant now, int times) {
    for (int count = 0; count < times; ++count)
      this->standing.ObserveFailure(now, 1, true, 0, this->changes);
  }

  RouterSettings settings;
  std::vector<StandingChange> changes;
  WorkerStanding standing;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(WorkerStandingTest)

BOOST_AUTO_TEST_CASE(FastFailuresEjectAndAreExplained) {
  Fixture fixture;
  fixture.Fail(kStart, 2);
  BOOST_TEST(fixture.standing.TakesCalls());
  fixture.Fail(kStart, 1);
  BOOST_TEST(!fixture.standing.TakesCalls());
  BOOST_REQUIRE(fixture.changes.size() == 1);
  BOOST_TEST(StandingName(fixture.changes[0].to) == "ejected");
  BOOST_TEST(StandingCauseName(fixture.changes[0].cause) == "fast-failures");
  BOOST_TEST(fixture.changes[0].evidence.starts_with("failure_score=3"));
}

BOOST_AUTO_TEST_CASE(EjectionSwitchedOffLeavesAFailingWorkerIn) {
  Fixture fixture;
  fixture.settings.standing.is_ejecting = false;
  fixture.Fail(kStart, 100);
  BOOST_TEST(fixture.standing.TakesCalls());
}

BOOST_AUTO_TEST_CASE(ScatteredFailuresDoNotEject) {
  Fixture fixture;
  for (int count = 0; count < 100; ++count) {
    fixture.Fail(kStart + count * milliseconds(50), 1);
    for (int answer = 0; answer < 4; ++answer)
      fixture.standing.ObserveSuccess(kStart + count * milliseconds(50),
                                      fixture.changes);
  }
  BOOST_TEST(fixture.changes.empty());
}

BOOST_AUTO_TEST_CASE(BackOffDoublesWithEachFailedTrial) {
  Fixture fixture;
  fixture.Fail(kStart, 3);
  auto now = kStart;
  for (const auto back_off : {seconds(1), seconds(2), seconds(4), seconds(8)}) {
    BOOST_REQUIRE(fixture.standing.NextWake().has_value());
    BOOST_TEST((*fixture.standing.NextWake() == now + back_off));
    now += back_off;
    fixture.standing.Advance(now, fixture.changes);
    BOOST_TEST((fixture.standing.State() == Standing::kOnTrial));
    BOOST_TEST(fixture.standing.WantsExploring(now, 0));
    fixture.Fail(now, 1);
    BOOST_TEST((fixture.standing.State() == Standing::kEjected));
  }
}

BOOST_AUTO_TEST_CASE(SuccessfulTrialsLeadToARampAndThenToFullWeight) {
  Fixture fixture;
  fixture.Fail(kStart, 3);
  auto now = kStart + seconds(1);
  fixture.standing.Advance(now, fixture.changes);
  for (int count = 0; count < 3; ++count) {
    BOOST_TEST(!fixture.standing.TakesCalls());
    fixture.standing.NoteExploring(now, 0);
    BOOST_TEST(!fixture.standing.WantsExploring(now, 0));
    fixture.standing.ObserveSuccess(now, fixture.changes);
  }
  BOOST_TEST((fixture.standing.State() == Standing::kStarting));
  BOOST_TEST(fixture.standing.Weight(now) < 0.2);
  fixture.standing.Advance(now + seconds(10), fixture.changes);
  BOOST_TEST((fixture.standing.State() == Standing::kActive));
  BOOST_TEST(fixture.standing.Weight(now + seconds(10)) == 1.0);
}

BOOST_AUTO_TEST_CASE(ColdStartRampsOnlyWorkersThatWereNotFoundAtStart) {
  Fixture found_at_start(true);
  BOOST_TEST(found_at_start.standing.Weight(kStart) == 1.0);
  Fixture listed_later(false);
  BOOST_TEST(listed_later.standing.Weight(kStart) == 0.1);
  BOOST_TEST(listed_later.standing.Weight(kStart + seconds(5)) == 0.5);
}

BOOST_AUTO_TEST_CASE(SlowWorkerIsExploredSeldomAndLeavesThatStateOnRecovery) {
  Fixture fixture;
  fixture.standing.ObserveSlowness(kStart, 10, fixture.changes);
  BOOST_TEST((fixture.standing.State() == Standing::kSlow));
  BOOST_TEST(fixture.standing.TakesCalls());
  const auto now = kStart + seconds(2);
  BOOST_TEST(!fixture.standing.WantsExploring(now, 999));
  BOOST_TEST(fixture.standing.WantsExploring(now, 1000));
  BOOST_TEST(fixture.standing.WantsExploring(kStart + seconds(20), 0));
  fixture.standing.ObserveSlowness(now, 1.6, fixture.changes);
  BOOST_TEST((fixture.standing.State() == Standing::kSlow));
  fixture.standing.ObserveSlowness(now, 1.3, fixture.changes);
  BOOST_TEST((fixture.standing.State() == Standing::kActive));
}

BOOST_AUTO_TEST_CASE(DrainHidesEveryOtherStandingAndEndsInARamp) {
  Fixture fixture;
  fixture.standing.ObserveStatement(kStart, kStart, true, fixture.changes);
  BOOST_TEST((fixture.standing.State() == Standing::kDraining));
  fixture.Fail(kStart, 10);
  BOOST_TEST(fixture.changes.size() == 1U);
  fixture.standing.ObserveAbsent(kStart + seconds(1), fixture.changes);
  fixture.standing.ObserveListed(kStart + seconds(9), model::WorkerState::kLive,
                                 fixture.changes);
  BOOST_TEST((fixture.standing.State() == Standing::kStarting));
  BOOST_TEST(fixture.standing.FailureScore(kStart + seconds(9)) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
