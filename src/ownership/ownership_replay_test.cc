#include "ownership/ownership_replay.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <vector>

namespace burdockwheel::ownership {

namespace {

constexpr std::size_t kLeastTraces = 9;

// Says where a replay failed, or nothing.
std::string FailureOf(std::istream& trace) {
  const auto replayed = ReplayOwnershipTrace(trace);
  if (replayed.HasValue()) return {};
  return "line " + std::to_string(replayed.Failure().line) + ": " +
         ReplayFailureName(replayed.Failure());
}

std::string FailureOf(const std::string& text) {
  std::istringstream trace(text);
  return FailureOf(trace);
}

std::vector<std::filesystem::path> RecordedTraces() {
  std::vector<std::filesystem::path> paths;
  for (const auto& entry :
       std::filesystem::directory_iterator(BURDOCKWHEEL_OWNERSHIP_TRACES))
    paths.push_back(entry.path());
  std::sort(paths.begin(), paths.end());
  return paths;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OwnershipReplayTest)

BOOST_AUTO_TEST_CASE(RecordedTracesEndAsStated) {
  const auto paths = RecordedTraces();
  BOOST_TEST(paths.size() >= kLeastTraces);
  for (const auto& path : paths) {
    BOOST_TEST_CONTEXT(path.filename().string()) {
      std::ifstream trace(path);
      BOOST_TEST(FailureOf(trace) == "");
    }
  }
}

BOOST_AUTO_TEST_CASE(NamesTheLineThatFails) {
  const std::string start = R"({"step":"start","host":"a"})"
                            "\n\n";
  BOOST_TEST(FailureOf(start) == "");
  BOOST_TEST(FailureOf(start + "{") == "line 3: malformed-step");
  BOOST_TEST(FailureOf(start + R"({"step":"dance"})") ==
             "line 3: malformed-step");
  BOOST_TEST(FailureOf(start + R"({"step":"start","host":1})") ==
             "line 3: malformed-step");
  BOOST_TEST(FailureOf(start + R"({"step":"kill","host":"b"})") ==
             "line 3: unknown-host");
  BOOST_TEST(FailureOf(start + R"({"step":"deliver"})") ==
             "line 3: nothing-to-do");
  BOOST_TEST(FailureOf(start + R"({"step":"expect-runs","count":1})") ==
             "line 3: outcome-differs");
}

BOOST_AUTO_TEST_CASE(WritesStepsThatItReads) {
  for (const auto& path : RecordedTraces()) {
    std::ifstream trace(path);
    std::string line;
    while (std::getline(trace, line)) {
      const auto step = ParseTraceStep(line);
      BOOST_REQUIRE(step.HasValue());
      const std::string written = TraceStepLine(step.Value());
      const auto again = ParseTraceStep(written);
      BOOST_REQUIRE(again.HasValue());
      BOOST_TEST(TraceStepLine(again.Value()) == written);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::ownership
