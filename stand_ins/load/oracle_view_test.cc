#include "stand_ins/load/oracle_view.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(OracleViewTest)

BOOST_AUTO_TEST_CASE(ChoosesTheSoonestByQueueAndSpeed) {
  OracleView view({{"a", "s"}, {"b", "s"}, {"c", "other"}});
  view.Update(0, {10, 6, true});
  // The slow worker is taken once the fast one's queue is nine rounds long.
  for (int call = 0; call < 6 + 9 * 6 - 1; ++call)
    BOOST_TEST(view.Begin("s") == 1);
  view.Update(0, {10, 6, false});
  BOOST_TEST(view.Begin("s") == 1);
  BOOST_TEST(view.Begin("s") == 1);
  view.Update(0, {1, 6, true});
  BOOST_TEST(view.Begin("s") == 0);
  BOOST_TEST(view.Begin("other") == 2);
}

BOOST_AUTO_TEST_CASE(PrefersTheEmptierOfEqualWorkers) {
  OracleView view({{"a", "s"}, {"b", "s"}});
  const std::size_t first = view.Begin("s");
  BOOST_TEST(view.Begin("s") != first);
  view.End(first);
  BOOST_TEST(view.Begin("s") == first);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
