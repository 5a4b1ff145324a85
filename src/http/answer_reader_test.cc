#include "http/answer_reader.h"

#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "http/hostile_bytes_test.h"

namespace burdockwheel::http {

namespace {

constexpr std::size_t kMostBodyBytes = 4096;

}  // namespace

BOOST_AUTO_TEST_SUITE(AnswerReaderTest)

BOOST_AUTO_TEST_CASE(PassesOverInterimAnswers) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n"
                          "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok",
                          consumed) == AnswerState::kComplete));
  const auto answer = reader.TakeAnswer();
  BOOST_TEST(answer.status == 200);
  BOOST_TEST(answer.body == "ok");
  BOOST_TEST(reader.IsKeepAlive());
}

BOOST_AUTO_TEST_CASE(FailsAnAnswerThatEndsBeforeItsLength) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nshort",
                          consumed) == AnswerState::kNeedsMore));
  BOOST_TEST((reader.FeedEnd() == AnswerState::kFailed));
}

BOOST_AUTO_TEST_CASE(EndsAnAnswerWithoutLengthWithTheConnection) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\n\r\nall of it", consumed) ==
              AnswerState::kNeedsMore));
  BOOST_TEST((reader.FeedEnd() == AnswerState::kComplete));
  BOOST_TEST(reader.TakeAnswer().body == "all of it");
  BOOST_TEST(!reader.IsKeepAlive());
}

BOOST_AUTO_TEST_CASE(ExpectsNoBodyAfterHead) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(true);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\n",
                          consumed) == AnswerState::kComplete));
}

BOOST_AUTO_TEST_CASE(FailsAnAnswerWithBothFramings) {
  AnswerReader reader(kMostBodyBytes);
  reader.Begin(false);
  std::size_t consumed = 0;
  BOOST_TEST((reader.Feed("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
                          "Content-Length: 2\r\n\r\n0\r\n\r\n",
                          consumed) == AnswerState::kFailed));
}

BOOST_AUTO_TEST_CASE(SurvivesTenThousandMalformedInputs) {
  const std::vector<std::string> samples = {
      "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\nhello",
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 204 No Content\r\n\r\n",
      "HTTP/1.0 503 Busy\r\nBurdockwheel-Run: not-run\r\n\r\nrest"};
  std::mt19937_64 random(1);
  for (int input = 0; input < 10'000; ++input) {
    const auto bytes = testing::Mutate(samples, random);
    AnswerReader reader(kMostBodyBytes);
    reader.Begin(random() % 8 == 0);
    std::size_t consumed = 0;
    auto state = reader.Feed(bytes, consumed);
    BOOST_REQUIRE(consumed <= bytes.size());
    if (state == AnswerState::kNeedsMore) state = reader.FeedEnd();
    if (state != AnswerState::kComplete) continue;
    BOOST_REQUIRE(reader.TakeAnswer().body.size() <= kMostBodyBytes);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
