#include "stand_ins/load/arrival_schedule.h"

#include <boost/test/unit_test.hpp>
#include <cmath>

namespace burdockwheel::stand_ins {
namespace {

constexpr int kCalls = 100'000;

}  // namespace

BOOST_AUTO_TEST_SUITE(ArrivalScheduleTest)

BOOST_AUTO_TEST_CASE(RepeatsWithTheSameSeed) {
  ArrivalSchedule first(1000, {1, 2}, 4, 7);
  ArrivalSchedule second(1000, {1, 2}, 4, 7);
  ArrivalSchedule other(1000, {1, 2}, 4, 8);
  const Arrival arrival = first.Next();
  BOOST_TEST(arrival.token == second.Next().token);
  BOOST_TEST(arrival.token != other.Next().token);
}

BOOST_AUTO_TEST_CASE(KeepsTheRateTheSharesAndPoissonGaps) {
  ArrivalSchedule schedule(1000, {1, 3}, 4, 1);
  int of_second_kind = 0;
  int short_gaps = 0;
  std::chrono::nanoseconds last{0};
  for (int call = 0; call < kCalls; ++call) {
    const Arrival arrival = schedule.Next();
    of_second_kind += arrival.kind == 1 ? 1 : 0;
    short_gaps += arrival.time - last < std::chrono::milliseconds(1) ? 1 : 0;
    last = arrival.time;
  }
  const std::chrono::duration<double> length = last;
  BOOST_TEST(length.count() == 100, boost::test_tools::tolerance(0.02));
  BOOST_TEST(of_second_kind / 1e5 == 0.75, boost::test_tools::tolerance(0.02));
  // The share of gaps below the mean gap in a Poisson process.
  BOOST_TEST(short_gaps / 1e5 == 1 - std::exp(-1),
             boost::test_tools::tolerance(0.02));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
