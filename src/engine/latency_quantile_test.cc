#include "engine/latency_quantile.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace burdockwheel::engine {

using std::chrono::microseconds;
using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(LatencyQuantileTest)

BOOST_AUTO_TEST_CASE(FollowsTheQuantileAndItsShift) {
  std::mt19937_64 random(1);
  std::uniform_int_distribution<int> latency(0, 10'000);
  LatencyQuantile quantile(0.95);
  for (int sample = 0; sample < 5000; ++sample)
    quantile.Observe(microseconds(latency(random)));
  BOOST_TEST(quantile.HasValue());
  BOOST_TEST(quantile.Value().count() > 9'000'000);
  BOOST_TEST(quantile.Value().count() < 10'500'000);
  for (int sample = 0; sample < 500; ++sample)
    quantile.Observe(microseconds(10 * latency(random)));
  BOOST_TEST(quantile.Value().count() > 80'000'000);
}

BOOST_AUTO_TEST_CASE(HasNoValueBeforeEnoughSamples) {
  LatencyQuantile quantile(0.1);
  for (int sample = 0; sample < 19; ++sample) {
    quantile.Observe(milliseconds(1));
    BOOST_TEST(!quantile.HasValue());
  }
  quantile.Observe(milliseconds(1));
  BOOST_TEST(quantile.HasValue());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
