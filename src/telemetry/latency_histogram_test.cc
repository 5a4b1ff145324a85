#include "telemetry/latency_histogram.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::telemetry {

using std::chrono::microseconds;

BOOST_AUTO_TEST_SUITE(LatencyHistogramTest)

BOOST_AUTO_TEST_CASE(GivesQuantilesWithinTheWidthOfABin) {
  LatencyHistogram histogram;
  for (int value = 1; value <= 1000; ++value) {
    histogram.Add(microseconds(100 * value));
  }
  BOOST_TEST(histogram.Count() == 1000U);
  const auto median = histogram.Quantile(0.5);
  // One bin is a factor of 10^(1/20), about 1.122.
  BOOST_TEST((median >= microseconds(50'000)));
  BOOST_TEST((median <= microseconds(56'200)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::telemetry
