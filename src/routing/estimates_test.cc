#include <boost/test/unit_test.hpp>

#include "routing/load_estimate.h"
#include "routing/speed_estimate.h"

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::Instant kStart{std::chrono::hours(1)};
constexpr std::chrono::nanoseconds kServiceTime = milliseconds(10);

}  // namespace

BOOST_AUTO_TEST_SUITE(LoadEstimateTest)

BOOST_AUTO_TEST_CASE(ReportFadesToTheMeanWithItsAge) {
  const LoadSettings settings;
  LoadEstimate load(settings);
  auto now = kStart;
  for (int count = 0; count < 100; ++count, now += milliseconds(50))
    load.ObserveReport(now, {4, 0, false}, 0);
  load.ObserveReport(now, {6, 10, false}, 2);
  BOOST_TEST(load.Others(now, 0, kServiceTime) == 14.0);
  const double faded = load.Others(now + seconds(1), 0, kServiceTime);
  BOOST_TEST(faded >= 4.0);
  BOOST_TEST(faded < 6.0);
}

// Without the check the claim of idleness is taken at its word: Others() is 0.
BOOST_AUTO_TEST_CASE(ClaimsThatDisagreeWithWhatIsSeenAreDiscounted) {
  for (const bool is_checked : {true, false}) {
    LoadSettings settings;
    settings.is_claim_checked = is_checked;
    LoadEstimate load(settings);
    for (int count = 0; count < 10; ++count) {
      load.NoteClaim(false);
      load.ObserveReport(kStart, {0, 0, false}, 0);
    }
    BOOST_TEST((load.Others(kStart, 5, kServiceTime) > 4.5) == is_checked);
    for (int count = 0; count < 100; ++count) load.NoteClaim(true);
    BOOST_TEST(load.Others(kStart, 5, kServiceTime) < 0.1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(SpeedEstimateTest)

BOOST_AUTO_TEST_CASE(TenfoldSlowDownIsSeenAfterAFewAnswers) {
  const SpeedSettings settings;
  SpeedEstimate speed(settings);
  auto now = kStart;
  for (int count = 0; count < 100; ++count, now += milliseconds(40))
    speed.ObserveAnswer(now, kServiceTime, 1);
  for (int count = 0; count < 3; ++count, now += milliseconds(40))
    speed.ObserveAnswer(now, 10 * kServiceTime, 1);
  BOOST_TEST((speed.ServiceTime() > 3 * kServiceTime));
}

BOOST_AUTO_TEST_CASE(QueueAtTheWorkerIsNotTakenForSlowness) {
  const SpeedSettings settings;
  SpeedEstimate speed(settings);
  for (int count = 0; count < 100; ++count)
    speed.ObserveAnswer(kStart, 3 * kServiceTime, 3);
  BOOST_TEST((speed.ServiceTime() <= kServiceTime + milliseconds(1)));
}

// Without the age of the oldest attempt nothing is seen before an answer.
BOOST_AUTO_TEST_CASE(OutstandingAttemptShowsASlowDownBeforeItsAnswer) {
  for (const bool is_believed : {true, false}) {
    SpeedSettings settings;
    settings.is_age_believed = is_believed;
    SpeedEstimate speed(settings);
    speed.ObserveAnswer(kStart, kServiceTime, 1);
    const auto seen =
        speed.EffectiveServiceTime(kServiceTime, 6 * kServiceTime, 0, 1);
    BOOST_TEST((seen == 6 * kServiceTime) == is_believed);
    BOOST_TEST((seen == kServiceTime) == !is_believed);
  }
}

BOOST_AUTO_TEST_CASE(LongCallAmongShortOnesIsNotTakenForSlowness) {
  const SpeedSettings settings;
  SpeedEstimate speed(settings);
  speed.ObserveAnswer(kStart, kServiceTime, 1);
  BOOST_TEST((speed.EffectiveServiceTime(kServiceTime, 6 * kServiceTime, 8,
                                         1) == kServiceTime));
}

BOOST_AUTO_TEST_CASE(SmallDifferencesAreTakenForNoise) {
  const SpeedSettings settings;
  SpeedEstimate speed(settings);
  speed.ObserveAnswer(kStart, kServiceTime * 6 / 5, 1);
  BOOST_TEST(
      (speed.EffectiveServiceTime(kServiceTime, {}, 0, 1) == kServiceTime));
}

BOOST_AUTO_TEST_CASE(AttemptGivenUpEarlyDoesNotMakeAWorkerFast) {
  const SpeedSettings settings;
  SpeedEstimate speed(settings);
  speed.ObserveAnswer(kStart, kServiceTime, 1);
  speed.ObserveLowerBound(kStart + seconds(1), milliseconds(1), 1);
  BOOST_TEST((speed.ServiceTime() == kServiceTime));
  speed.ObserveLowerBound(kStart + seconds(1), 10 * kServiceTime, 1);
  BOOST_TEST((speed.ServiceTime() > kServiceTime));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
