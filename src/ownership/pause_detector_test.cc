#include "ownership/pause_detector.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::ownership {

BOOST_AUTO_TEST_SUITE(PauseDetectorTest)

BOOST_AUTO_TEST_CASE(NoticesEachPauseOnce) {
  PauseDetector detector;
  kernel::Instant now{std::chrono::hours(5)};
  BOOST_TEST(!detector.Observe(now));
  for (int tick = 0; tick < 10; ++tick) {
    now += PauseDetector::kTickInterval;
    BOOST_TEST(!detector.Observe(now));
  }
  now += PauseDetector::kLeastPause + std::chrono::milliseconds(1);
  BOOST_TEST(detector.Observe(now));
  BOOST_TEST(!detector.Observe(now));
  now += PauseDetector::kLeastPause;
  BOOST_TEST(!detector.Observe(now));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::ownership
