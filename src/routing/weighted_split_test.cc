#include "routing/weighted_split.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::routing {

BOOST_AUTO_TEST_SUITE(WeightedSplitTest)

BOOST_AUTO_TEST_CASE(KeepsToTheWeightsInEveryRun) {
  std::mt19937_64 random(1);
  for (int start = 0; start < 50; ++start) {
    WeightedSplit split({90, 10, 0}, random);
    std::vector<int> calls(3, 0);
    for (int call = 1; call <= 1000; ++call) {
      calls[split.Next()] += 1;
      BOOST_TEST(std::abs(calls[0] - 0.9 * call) <= 2.0);
    }
    BOOST_TEST(calls[2] == 0);
  }
}

BOOST_AUTO_TEST_CASE(KeepsToWeightsWithFractions) {
  std::mt19937_64 random(3);
  WeightedSplit split({0.25, 87.5, 12.25}, random);
  std::vector<int> calls(3, 0);
  for (int call = 1; call <= 2000; ++call) {
    calls[split.Next()] += 1;
    BOOST_TEST(std::abs(calls[1] - 0.875 * call) <= 2.0);
  }
  BOOST_TEST(std::abs(calls[0] - 5) <= 1);
}

// Hosts that each see a few calls keep to the weights together.
BOOST_AUTO_TEST_CASE(ManyHostsWithFewCallsKeepToTheWeights) {
  std::mt19937_64 random(2);
  int second = 0;
  constexpr int kHosts = 1000;
  for (int host = 0; host < kHosts; ++host) {
    WeightedSplit split({70, 30}, random);
    second += split.Next() == 1 ? 1 : 0;
  }
  BOOST_TEST(second > 0.15 * kHosts);
  BOOST_TEST(second < 0.45 * kHosts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
