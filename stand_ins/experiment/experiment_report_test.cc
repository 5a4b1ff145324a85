#include "stand_ins/experiment/experiment_report.h"

#include <boost/test/unit_test.hpp>
#include <nlohmann/json.hpp>

#include "stand_ins/experiment/experiment_case.h"

namespace burdockwheel::stand_ins {
namespace {

PolicySample Sample(const char* policy, int repeat, double p99_ms) {
  PolicySample sample;
  sample.policy = policy;
  sample.repeat = repeat;
  sample.p99_ms = p99_ms;
  return sample;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ExperimentReport)

BOOST_AUTO_TEST_CASE(ComparesWithTheReferenceOfTheSameRepeat) {
  const auto summary = SummaryOf(
      {Sample("oracle", 0, 10), Sample("a", 0, 20), Sample("oracle", 1, 100),
       Sample("a", 1, 110), Sample("oracle", 2, 10), Sample("a", 2, 15)},
      "oracle");
  BOOST_TEST(summary.size() == 2U);
  BOOST_TEST(summary[0].at("p99_ratio") == 1.0);
  BOOST_TEST(summary[1].at("policy") == "a");
  BOOST_TEST(summary[1].at("p99_ms") == 20.0);
  BOOST_TEST(summary[1].at("p99_ratio") == 1.5);
  BOOST_TEST(summary[1].at("p99_ratio_least").get<double>() == 1.1,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(summary[1].at("p99_ratio_most") == 2.0);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ExperimentCaseTest)

BOOST_AUTO_TEST_CASE(PairsJoinEventsInOrderAtTheLowerLoad) {
  const auto pair = ExperimentCaseOrNull("slow-worker+cold-start");
  BOOST_TEST_REQUIRE(pair.has_value());
  BOOST_TEST(pair->load == 0.5);
  BOOST_TEST_REQUIRE(pair->events.size() == 4U);
  for (std::size_t event = 1; event < pair->events.size(); ++event)
    BOOST_TEST(pair->events[event - 1].at <= pair->events[event].at);
  BOOST_TEST(!ExperimentCaseOrNull("slow-worker+none").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
