#include "stand_ins/load/latency_histogram.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::microseconds;
using std::chrono::nanoseconds;
using std::chrono::seconds;

constexpr double kBinWidth = 0.01;

}  // namespace

BOOST_AUTO_TEST_SUITE(LatencyHistogramTest)

BOOST_AUTO_TEST_CASE(QuantilesAreExactToABin) {
  LatencyHistogram histogram;
  for (int latency = 10'000; latency >= 1; --latency)
    histogram.Add(microseconds(latency));
  for (const double share : {0.001, 0.5, 0.9, 0.99, 0.999, 1.0}) {
    const double exact = share * 1e7;
    const auto found = static_cast<double>(histogram.Quantile(share).count());
    BOOST_TEST(found >= exact);
    BOOST_TEST(found <= exact * (1 + kBinWidth) + 1);
  }
  BOOST_TEST((histogram.Largest() == microseconds(10'000)));
  BOOST_TEST((histogram.Mean() == nanoseconds(5'000'500)));
}

BOOST_AUTO_TEST_CASE(CountsLatenciesOutsideTheAxis) {
  LatencyHistogram histogram;
  histogram.Add(nanoseconds(0));
  histogram.Add(seconds(5000));
  BOOST_TEST(histogram.Count() == 2);
  BOOST_TEST((histogram.Quantile(0.5) <= microseconds(2)));
  BOOST_TEST((histogram.Quantile(0.99) == seconds(5000)));
}

BOOST_AUTO_TEST_CASE(MergesAsIfOneHadSeenAll) {
  LatencyHistogram both;
  LatencyHistogram first;
  LatencyHistogram second;
  for (int latency = 1; latency <= 1000; ++latency) {
    both.Add(microseconds(latency));
    (latency % 3 == 0 ? first : second).Add(microseconds(latency));
  }
  first.Merge(second);
  BOOST_TEST(first.Count() == both.Count());
  BOOST_TEST((first.Quantile(0.9) == both.Quantile(0.9)));
  BOOST_TEST((first.Mean() == both.Mean()));
}

BOOST_AUTO_TEST_CASE(AnswersZeroWhenEmpty) {
  const LatencyHistogram histogram;
  BOOST_TEST((histogram.Quantile(0.99) == nanoseconds(0)));
  BOOST_TEST((histogram.Mean() == nanoseconds(0)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
