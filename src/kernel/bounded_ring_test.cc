#include "kernel/bounded_ring.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

namespace burdockwheel::kernel {

BOOST_AUTO_TEST_SUITE(BoundedRingTest)

BOOST_AUTO_TEST_CASE(RefusesAndCountsMessagesBeyondItsCapacity) {
  int wake_ups = 0;
  BoundedRing<std::string> ring(2, [&wake_ups] { ++wake_ups; });
  BOOST_TEST(ring.TryPush("a"));
  BOOST_TEST(ring.TryPush("b"));
  BOOST_TEST(!ring.TryPush("c"));
  BOOST_TEST(ring.DroppedCount() == 1U);
  BOOST_TEST(wake_ups == 2);
}

BOOST_AUTO_TEST_CASE(DeliversMessagesInOrder) {
  BoundedRing<int> ring(8, [] {});
  for (int value = 0; value < 5; ++value) BOOST_TEST(ring.TryPush(value));
  std::vector<int> received;
  BOOST_TEST(
      ring.Drain([&received](int value) { received.push_back(value); }) == 5U);
  BOOST_TEST(received == (std::vector<int>{0, 1, 2, 3, 4}),
             boost::test_tools::per_element());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::kernel
