#include "routing/drain_evidence.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

using model::WorkerState;
using std::chrono::seconds;

const kernel::Instant kStart{std::chrono::hours(1)};

}  // namespace

BOOST_AUTO_TEST_SUITE(DrainEvidenceTest)

BOOST_AUTO_TEST_CASE(EachSourceAloneIsBelievedAtOnce) {
  const DrainSettings settings;
  DrainEvidence by_answer(settings);
  by_answer.ObserveStatement(kStart, kStart, true);
  BOOST_TEST(by_answer.IsDraining());
  DrainEvidence by_list(settings);
  by_list.ObserveListed(kStart, WorkerState::kLeaving);
  BOOST_TEST(by_list.IsDraining());
  DrainEvidence by_absence(settings);
  by_absence.ObserveAbsent(kStart);
  BOOST_TEST(by_absence.IsDraining());
}

BOOST_AUTO_TEST_CASE(ListThatLagsDoesNotBringBackWhatTheWorkerSaid) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveStatement(kStart, kStart, true);
  for (int second = 1; second < 600; ++second)
    drain.ObserveListed(kStart + seconds(second), WorkerState::kLive);
  BOOST_TEST(drain.IsDraining());
}

// An answer to a call that was sent before the drain was heard may have been
// made before the drain began. Without the check, IsDraining() turns false.
BOOST_AUTO_TEST_CASE(LateAnswerDoesNotBringBackADrainingWorker) {
  for (const bool is_checked : {true, false}) {
    DrainSettings settings;
    settings.is_freshness_checked = is_checked;
    DrainEvidence drain(settings);
    drain.ObserveStatement(kStart, kStart - seconds(2), true);
    drain.ObserveStatement(kStart + seconds(40), kStart - seconds(1), false);
    BOOST_TEST(drain.IsDraining() == is_checked);
  }
}

BOOST_AUTO_TEST_CASE(HealthThatLagsDoesNotBringBackADrainingWorker) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveStatement(kStart, kStart, true);
  for (int second = 1; second <= 25; ++second) {
    const auto now = kStart + seconds(second);
    drain.ObserveStatement(now, now, false);
  }
  BOOST_TEST(drain.IsDraining());
}

BOOST_AUTO_TEST_CASE(DenialsOverLongerThanTheLagOfHealthEndADrain) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveStatement(kStart, kStart, true);
  drain.ObserveListed(kStart, WorkerState::kLive);
  for (int second = 10; second <= 50; second += 10) {
    const auto now = kStart + seconds(second);
    BOOST_TEST((*drain.RecheckAt() <= now));
    drain.NoteRecheck(now);
    drain.ObserveStatement(now, now, false);
    if (!drain.IsDraining()) break;
  }
  BOOST_TEST(!drain.IsDraining());
}

BOOST_AUTO_TEST_CASE(OneMoreAnnouncementStartsTheDenialsAnew) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveStatement(kStart, kStart, true);
  for (int second = 10; second <= 300; second += 10) {
    const auto now = kStart + seconds(second);
    drain.ObserveStatement(now, now, second % 30 == 0);
  }
  BOOST_TEST(drain.IsDraining());
}

BOOST_AUTO_TEST_CASE(NewLifeOfTheWorkerEndsADrain) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveStatement(kStart, kStart, true);
  drain.ObserveAbsent(kStart + seconds(5));
  drain.ObserveAbsent(kStart + seconds(6));
  drain.ObserveListed(kStart + seconds(8), WorkerState::kLive);
  BOOST_TEST(!drain.IsDraining());
}

BOOST_AUTO_TEST_CASE(BriefAbsenceIsNoNewLife) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveStatement(kStart, kStart, true);
  drain.ObserveAbsent(kStart + seconds(5));
  drain.ObserveListed(kStart + seconds(6), WorkerState::kLive);
  BOOST_TEST(drain.IsDraining());
}

BOOST_AUTO_TEST_CASE(ListWithdrawsOnlyItsOwnWord) {
  const DrainSettings settings;
  DrainEvidence drain(settings);
  drain.ObserveListed(kStart, WorkerState::kLeaving);
  drain.ObserveListed(kStart + seconds(5), WorkerState::kLive);
  BOOST_TEST(!drain.IsDraining());
  drain.ObserveListed(kStart + seconds(6), WorkerState::kLeaving);
  drain.ObserveStatement(kStart + seconds(7), kStart + seconds(6), true);
  drain.ObserveListed(kStart + seconds(8), WorkerState::kLive);
  BOOST_TEST(drain.IsDraining());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
