#include "telemetry/metric_text.h"

#include <boost/test/unit_test.hpp>
#include <chrono>

namespace burdockwheel::telemetry {

BOOST_AUTO_TEST_SUITE(MetricTextTest)

BOOST_AUTO_TEST_CASE(WritesFamiliesWithHelpAndType) {
  MetricText text;
  text.Counter("calls_total", "Calls.", 3);
  text.Family("waiting", MetricType::kGauge, "Waiting calls.");
  text.Sample(MetricLabel("service", "a\"b\\c"), 2.5);
  BOOST_TEST(text.Text() ==
             "# HELP burdockwheel_calls_total Calls.\n"
             "# TYPE burdockwheel_calls_total counter\n"
             "burdockwheel_calls_total 3\n"
             "# HELP burdockwheel_waiting Waiting calls.\n"
             "# TYPE burdockwheel_waiting gauge\n"
             "burdockwheel_waiting{service=\"a\\\"b\\\\c\"} 2.5\n");
}

BOOST_AUTO_TEST_CASE(HistogramsEndWithSumAndCount) {
  LatencyHistogram histogram;
  histogram.Add(std::chrono::milliseconds(500));
  MetricText text;
  text.Family("call_seconds", MetricType::kHistogram, "Arrival to answer.");
  text.Sample(MetricLabel("kind", "read"), histogram);
  BOOST_TEST(
      text.Text().find(
          "burdockwheel_call_seconds_bucket{kind=\"read\",le=\"+Inf\"} 1\n") !=
      std::string::npos);
  BOOST_TEST(text.Text().find("burdockwheel_call_seconds_count{kind=\"read\"} "
                              "1\n") != std::string::npos);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::telemetry
