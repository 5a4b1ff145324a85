#include "explain/call_story.h"

#include <boost/test/unit_test.hpp>
#include <sstream>

namespace burdockwheel::explain {

namespace {

std::vector<LogLine> Parse(const std::string& text) {
  std::vector<LogLine> lines;
  std::istringstream stream(text);
  std::string line;
  while (std::getline(stream, line)) {
    if (auto parsed = TryParseLogLine(line))
      lines.push_back(std::move(*parsed));
  }
  return lines;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CallStoryTest)

BOOST_AUTO_TEST_CASE(TakesLinesApart) {
  const auto line = TryParseLogLine(
      "edge-1 | time=2026-03-09T05:15:13.033Z up_ms=3 host=h1 level=info "
      "event=change evidence=\"a=1 b=\\\"x\\\" \\x0a\" empty=\"\"");
  BOOST_REQUIRE(line.has_value());
  BOOST_TEST(line->host == "h1");
  BOOST_TEST(line->event == "change");
  BOOST_TEST(line->Field("evidence") == "a=1 b=\"x\" \n");
  BOOST_TEST(line->Field("absent").empty());
  BOOST_TEST(!TryParseLogLine("no line of ours").has_value());
}

BOOST_AUTO_TEST_CASE(NamesTheAnswerThatWasNotRelayed) {
  const auto story = ExplainCall(
      Parse("time=2026-01-01T00:00:01.000Z up_ms=1000 host=h1 level=info "
            "event=call-admitted call=c1 service=s kind=book\n"
            "time=2026-01-01T00:00:01.001Z up_ms=1001 host=h1 level=info "
            "event=call-sent call=c1 attempt=7 cause=first-try worker=w1\n"
            "time=2026-01-01T00:00:01.201Z up_ms=1201 host=h1 level=info "
            "event=attempt-ended call=c1 attempt=7 result=answered status=503 "
            "cause=none latency_ms=200\n"
            "time=2026-01-01T00:00:01.201Z up_ms=1201 host=h1 level=info "
            "event=call-refused call=c1 reason=worker-failed "
            "run_state=unknown\n"),
      "c1");
  BOOST_TEST(CauseName(story.cause) == "worker-error");
  BOOST_TEST(story.explanation.find("worker w1") != std::string::npos);
  BOOST_TEST(story.explanation.find("with 503") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(NamesTheAttemptWhoseAnswerWasLost) {
  const auto story = ExplainCall(
      Parse("time=2026-01-01T00:00:00.000Z up_ms=0 host=h1 level=info "
            "event=started\n"
            "time=2026-01-01T00:00:01.000Z up_ms=1000 host=h1 level=info "
            "event=call-admitted call=c1 service=s kind=book\n"
            "time=2026-01-01T00:00:01.001Z up_ms=1001 host=h1 level=info "
            "event=call-sent call=c1 attempt=7 cause=first-try worker=w1\n"
            "time=2026-01-01T00:00:01.201Z up_ms=1201 host=h1 level=info "
            "event=attempt-ended call=c1 attempt=7 result=broken cause=reset "
            "latency_ms=200\n"
            "time=2026-01-01T00:00:01.201Z up_ms=1201 host=h1 level=info "
            "event=change subject=\"worker w1\" from=active to=ejected\n"
            "time=2026-01-01T00:00:01.201Z up_ms=1201 host=h1 level=info "
            "event=call-refused call=c1 reason=worker-failed "
            "run_state=unknown\n"),
      "c1");
  BOOST_TEST(CauseName(story.cause) == "answer-lost");
  BOOST_TEST(story.lines.size() == 4U);
  BOOST_TEST(story.explanation.find("worker w1") != std::string::npos);
  BOOST_TEST(story.explanation.find("reset") != std::string::npos);
  BOOST_REQUIRE(story.around.size() == 2U);
  BOOST_TEST(story.around.back().Field("to") == "ejected");
}

BOOST_AUTO_TEST_CASE(TellsWaitingFromASlowMachine) {
  const std::string begin =
      "time=2026-01-01T00:00:01.000Z up_ms=1000 host=h1 level=info "
      "event=call-admitted call=c1 service=s kind=read\n";
  const std::string end =
      "time=2026-01-01T00:00:01.600Z up_ms=1600 host=h1 level=info "
      "event=attempt-ended call=c1 attempt=7 result=answered cause=none "
      "status=200 latency_ms=190 slowdown=7.00\n"
      "time=2026-01-01T00:00:01.600Z up_ms=1600 host=h1 level=info "
      "event=call-answered call=c1 attempt=7 status=200 latency_ms=600 "
      "objective_ms=400 late=1\n";
  const auto waited = ExplainCall(
      Parse(begin +
            "time=2026-01-01T00:00:01.410Z up_ms=1410 host=h1 level=info "
            "event=call-sent call=c1 attempt=7 cause=first-try worker=w1\n" +
            end),
      "c1");
  BOOST_TEST(CauseName(waited.cause) == "queued-long");
  const auto slow = ExplainCall(
      Parse(begin +
            "time=2026-01-01T00:00:01.001Z up_ms=1001 host=h1 level=info "
            "event=call-sent call=c1 attempt=7 cause=first-try worker=w1\n" +
            end),
      "c1");
  BOOST_TEST(CauseName(slow.cause) == "slow-worker");
  BOOST_TEST(slow.explanation.find("7.00") != std::string::npos);
}

BOOST_AUTO_TEST_CASE(AJumpOfTheTimeOfDayDoesNotChangeTheOrder) {
  const auto story = ExplainCall(
      Parse("time=2026-01-01T00:00:01.000Z up_ms=1000 host=h1 level=info "
            "event=call-admitted call=c1\n"
            "time=2026-01-01T00:00:01.010Z up_ms=1010 host=h1 level=info "
            "event=call-sent call=c1 attempt=1 worker=w\n"
            "time=2025-12-31T23:59:51.100Z up_ms=1100 host=h1 level=info "
            "event=caller-gone call=c1 latency_ms=100\n"),
      "c1");
  BOOST_TEST(CauseName(story.cause) == "caller-gone");
  BOOST_TEST(story.lines.back().event == "caller-gone");
}

BOOST_AUTO_TEST_CASE(SaysWhenAHostEndedWithTheCall) {
  const auto story = ExplainCall(
      Parse("time=2026-01-01T00:00:01.000Z up_ms=1000 host=h1 level=info "
            "event=call-admitted call=c1\n"
            "time=2026-01-01T00:00:01.050Z up_ms=1050 host=h1 level=info "
            "event=call-admitted call=c2\n"),
      "c1");
  BOOST_TEST(CauseName(story.cause) == "host-gone");
  BOOST_TEST(CauseName(ExplainCall({}, "c1").cause) == "unknown-call");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::explain
