#include "stand_ins/load/run_check.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(RunCheckTest)

BOOST_AUTO_TEST_CASE(AcceptsOutcomesThatAgreeWithTheCounts) {
  const RunCheckReport report = CheckRuns({{"a", ToldOutcome::kAnswered},
                                           {"b", ToldOutcome::kNotRun},
                                           {"c", ToldOutcome::kUnknown},
                                           {"d", ToldOutcome::kUnknown},
                                           {"e", ToldOutcome::kFailed}},
                                          {{"a", 1}, {"c", 1}}, true);
  BOOST_TEST(report.IsSound());
  BOOST_TEST(report.keys == 5);
  BOOST_TEST(report.unknown == 2);
  BOOST_TEST(report.unknown_and_run == 1);
}

BOOST_AUTO_TEST_CASE(FindsEachBrokenPromise) {
  const RunCheckReport report =
      CheckRuns({{"a", ToldOutcome::kAnswered},
                 {"b", ToldOutcome::kNotRun},
                 {"c", ToldOutcome::kUnknown}},
                {{"b", 1}, {"c", 2}, {"never told", 2}}, true);
  BOOST_TEST(!report.IsSound());
  BOOST_TEST(report.answered_but_not_run == std::vector<std::string>{"a"});
  BOOST_TEST(report.not_run_but_run == std::vector<std::string>{"b"});
  BOOST_TEST(report.run_twice.size() == 2);
}

BOOST_AUTO_TEST_CASE(DrawsNothingFromAbsentRunsAfterACrash) {
  BOOST_TEST(CheckRuns({{"a", ToldOutcome::kAnswered}}, {}, false).IsSound());
  BOOST_TEST(
      !CheckRuns({{"a", ToldOutcome::kNotRun}}, {{"a", 1}}, false).IsSound());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
