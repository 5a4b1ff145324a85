#include "stand_ins/experiment/metrics_text.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(MetricsText)

BOOST_AUTO_TEST_CASE(SumsSamplesOverLabelsAndTexts) {
  std::map<std::string, double> sums;
  AddMetrics(
      "# HELP calls_total Calls.\n# TYPE calls_total counter\n"
      "calls_total{kind=\"a } b\"} 3\ncalls_total{kind=\"c\"} 4 1700000000\n"
      "up 1\nwait_bucket{le=\"0.1\"} 9\nwait_sum 2.5\n\nbroken\n",
      &sums);
  AddMetrics("calls_total 0.5", &sums);
  BOOST_TEST(sums.size() == 3U);
  BOOST_TEST(sums.at("calls_total") == 7.5);
  BOOST_TEST(sums.at("up") == 1);
  BOOST_TEST(sums.at("wait_sum") == 2.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
