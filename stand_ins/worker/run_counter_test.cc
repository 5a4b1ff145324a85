#include "stand_ins/worker/run_counter.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(RunCounterTest)

BOOST_AUTO_TEST_CASE(CountsEachRunOfAKeyAndRunsWithoutOne) {
  RunCounter counter;
  counter.CountRun("a");
  counter.CountRun("b");
  counter.CountRun("a");
  counter.CountRun("");
  BOOST_TEST(counter.Total() == 4);
  BOOST_TEST(counter.RunsByKey().size() == 2);
  BOOST_TEST(counter.RunsByKey().at("a") == 2);
  BOOST_TEST(counter.RunsByKey().at("b") == 1);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
