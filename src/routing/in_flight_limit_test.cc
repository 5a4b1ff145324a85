#include "routing/in_flight_limit.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;

constexpr double kFairShare = 6;
constexpr double kTarget = 1;
constexpr double kHarmful = 1.4;

class LimitFixture {
 public:
  // Observes for a time, every 20 ms.
  void Observe(double load, int own_in_flight, milliseconds time) {
    for (milliseconds passed{0}; passed < time; passed += milliseconds(20)) {
      this->now += milliseconds(20);
      this->limit.Observe(this->now, {load, kTarget, kHarmful}, own_in_flight);
    }
  }

  // Returns how many calls the host may have in flight, up to 100.
  int MaxInFlight() const {
    int count = 0;
    while (count < 100 && this->limit.HasRoom(count, kFairShare)) ++count;
    return count;
  }

  kernel::Instant now{std::chrono::hours(1)};
  InFlightLimit limit;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(InFlightLimitTest, LimitFixture)

BOOST_AUTO_TEST_CASE(LeavesAServiceAloneWhoseCallsHardlyWait) {
  this->Observe(1.3, 40, std::chrono::seconds(10));
  BOOST_TEST(this->MaxInFlight() == 100);
}

// Hosts with more callers keep more calls in flight than the others.
BOOST_AUTO_TEST_CASE(ScalesEachHostsOwnCallsByTheLoad) {
  LimitFixture busy;
  this->Observe(0.5, 10, std::chrono::seconds(2));
  busy.Observe(0.5, 20, std::chrono::seconds(2));
  this->Observe(2.0, 10, milliseconds(300));
  busy.Observe(2.0, 20, milliseconds(300));
  BOOST_TEST(this->MaxInFlight() < 10);
  BOOST_TEST(this->MaxInFlight() >= 4);
  BOOST_TEST(busy.MaxInFlight() >= 2 * this->MaxInFlight() - 1);
  BOOST_TEST(busy.MaxInFlight() < 20);
}

BOOST_AUTO_TEST_CASE(NeverFallsBelowAPartOfTheFairShare) {
  this->Observe(10.0, 10, std::chrono::seconds(10));
  BOOST_TEST(this->MaxInFlight() == 3);
}

BOOST_AUTO_TEST_CASE(RisesAgainAndEndsWithTheLoad) {
  this->Observe(0.5, 10, std::chrono::seconds(2));
  this->Observe(2.0, 10, std::chrono::seconds(1));
  const int limited = this->MaxInFlight();
  // Not at once: what waits at all hosts would be sent together.
  this->Observe(0.5, limited, milliseconds(100));
  BOOST_TEST(this->MaxInFlight() < 100);
  this->Observe(0.9, limited, milliseconds(500));
  BOOST_TEST(this->MaxInFlight() > limited);
  this->Observe(0.5, limited, std::chrono::seconds(3));
  BOOST_TEST(this->MaxInFlight() == 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
