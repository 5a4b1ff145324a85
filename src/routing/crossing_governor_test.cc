#include "routing/crossing_governor.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

// Feeds a governor one call each millisecond and starts what may start.
struct Feed {
  explicit Feed(const CrossingSettings& settings = {})
      : settings(settings), governor(this->settings) {}

  // Returns the share of calls that crossed in the time.
  double Run(std::chrono::milliseconds time, double advantage, bool has_local) {
    int crossed = 0;
    for (int call = 0; call < time.count(); ++call) {
      this->now += milliseconds(1);
      for (int ask = 0; ask < this->asks_per_call; ++ask) {
        if (!this->governor.MayCross(this->now, advantage, has_local)) continue;
        ++crossed;
        break;
      }
      this->governor.NoteStarted(this->now);
    }
    return crossed / static_cast<double>(time.count());
  }

  CrossingSettings settings;
  CrossingGovernor governor;
  kernel::Instant now{std::chrono::hours(1)};
  int asks_per_call = 1;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(CrossingGovernorTest)

BOOST_AUTO_TEST_CASE(CallsStayWhenCrossingDoesNotPay) {
  Feed feed;
  BOOST_TEST(feed.Run(seconds(10), -0.5, true) == 0.0);
  BOOST_TEST(feed.Run(seconds(10), 0.2, true) == 0.0);
}

// Without the cap the whole load moves with the first call: the share is 1.
BOOST_AUTO_TEST_CASE(LossOfTheOwnDomainIsSpreadOverAQuarterOfASecond) {
  for (const bool is_capped : {true, false}) {
    CrossingSettings settings;
    settings.is_capped = is_capped;
    Feed feed(settings);
    feed.Run(seconds(10), -1, true);
    const double first = feed.Run(milliseconds(50), 1, false);
    BOOST_TEST((first < 0.35) == is_capped);
    feed.Run(milliseconds(450), 1, false);
    BOOST_TEST(feed.Run(milliseconds(100), 1, false) > 0.9);
  }
}

// A queue asks again with each event until its call may go.
BOOST_AUTO_TEST_CASE(AskingAgainDoesNotPassTheCap) {
  Feed feed;
  feed.Run(seconds(10), -1, true);
  feed.asks_per_call = 50;
  BOOST_TEST(feed.Run(milliseconds(50), 1, false) < 0.35);
}

BOOST_AUTO_TEST_CASE(ChosenCrossingRisesSlowly) {
  Feed feed;
  feed.Run(seconds(10), -1, true);
  BOOST_TEST(feed.Run(seconds(1), 2, true) < 0.3);
  feed.Run(seconds(5), 2, true);
  BOOST_TEST(feed.Run(seconds(1), 2, true) > 0.9);
}

BOOST_AUTO_TEST_CASE(HostThatStartsWithoutLocalWorkersCrossesAtOnce) {
  Feed feed;
  BOOST_TEST(feed.Run(milliseconds(100), 1, false) == 1.0);
}

BOOST_AUTO_TEST_CASE(SmallAdvantageKeepsCallsCrossingButDoesNotStartThem) {
  Feed feed;
  BOOST_TEST(feed.Run(seconds(5), 0.1, true) == 0.0);
  feed.Run(seconds(10), 2, true);
  BOOST_TEST(feed.Run(seconds(5), 0.1, true) > 0.9);
  feed.Run(seconds(5), -0.5, true);
  BOOST_TEST(feed.Run(seconds(5), 0.1, true) == 0.0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
