#include "stand_ins/worker/slot_queue.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(SlotQueueTest)

BOOST_AUTO_TEST_CASE(RunsQueuesAndRefusesInThisOrder) {
  SlotQueue queue(2, 1);
  BOOST_TEST((queue.Offer(1) == Admission::kStarted));
  BOOST_TEST((queue.Offer(2) == Admission::kStarted));
  BOOST_TEST((queue.Offer(3) == Admission::kQueued));
  BOOST_TEST((queue.Offer(4) == Admission::kRefused));
  BOOST_TEST(!queue.StartNextOrNull().has_value());
  queue.Remove(1);
  BOOST_TEST(queue.StartNextOrNull().value() == 3);
  BOOST_TEST(queue.RunningCount() == 2);
  BOOST_TEST(queue.QueuedCount() == 0);
}

BOOST_AUTO_TEST_CASE(ForgetsAQueuedCallThatIsRemoved) {
  SlotQueue queue(1, 2);
  (void)queue.Offer(1);
  (void)queue.Offer(2);
  (void)queue.Offer(3);
  queue.Remove(2);
  queue.Remove(1);
  BOOST_TEST(queue.StartNextOrNull().value() == 3);
  BOOST_TEST(queue.MostRunningSeen() == 1);
  BOOST_TEST(queue.MostQueuedSeen() == 2);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
