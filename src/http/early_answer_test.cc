// Workers that answer while the request is still being written, and end their
// connection before or after the answer is whole.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "http/arrival_fixture_test.h"

namespace burdockwheel::http {

namespace {

using Ending = testing::StagedWorker::Ending;

// More than the buffers of both sockets hold.
constexpr std::size_t kUploadBytes = std::size_t{24} << 20U;

const std::string kHead = "HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string Upload() {
  return "POST /a HTTP/1.1\r\nHost: w\r\nContent-Length: " +
         std::to_string(kUploadBytes) + "\r\n\r\n" +
         std::string(kUploadBytes, 'u');
}

void CheckReset(const testing::Ended& ended) {
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken));
  BOOST_TEST((ended.outcome.cause == model::BreakCause::kReset));
  BOOST_TEST(ended.answer.body.empty());
}

void CheckAnswered(const testing::Ended& ended) {
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kAnswered));
  BOOST_TEST(ended.answer.status == 200);
  BOOST_TEST(ended.answer.body == "all of it");
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EarlyAnswerTest, testing::ArrivalFixture)

// RFC 9112, section 8: a reset leaves an answer without a length incomplete.
BOOST_AUTO_TEST_CASE(FailsAnAnswerWithoutLengthThatIsReset) {
  const std::vector<std::vector<std::string>> cases = {
      {kHead + "\r\n", "part ", "of it"}, {kHead + "\r\n"}};
  for (const auto& parts : cases)
    this->ForEachArrival(Upload(), parts, Ending::kReset, CheckReset);
}

BOOST_AUTO_TEST_CASE(FailsAnAnswerThatIsResetBeforeItsStatedEnd) {
  const std::vector<std::vector<std::string>> cases = {
      {kHead, "Content-Length: 9\r\n\r\n", "all of"},
      {kHead, "Content-Length: 9\r\n\r\n"},
      {kChunkedHead, "3\r\nall\r\n", "6\r\n of"},
      {kChunkedHead, "9\r\nall of it\r\n"},
      {kHead},
      {"HTTP/1.1 103 Early Hints\r\n\r\n", kHead}};
  for (const auto& parts : cases)
    this->ForEachArrival(Upload(), parts, Ending::kReset, CheckReset);
}

BOOST_AUTO_TEST_CASE(TakesAnAnswerThatIsWholeBeforeTheReset) {
  const std::vector<std::vector<std::string>> cases = {
      {kHead, "Content-Length: 9\r\n\r\n", "all of it"},
      {kChunkedHead, "9\r\nall of it\r\n", "0\r\n\r\n"}};
  for (const auto& parts : cases)
    this->ForEachArrival(Upload(), parts, Ending::kReset, CheckAnswered);
}

// The worker has ended its answer in order. That it reads no more of the
// request, and resets the connection for it, takes nothing from the answer.
BOOST_AUTO_TEST_CASE(TakesAnAnswerWithoutLengthThatTheWorkerHasEnded) {
  for (const auto ending : {Ending::kClose, Ending::kCloseThenReset})
    this->ForEachArrival(Upload(), {kHead + "\r\n", "all ", "of it"}, ending,
                         CheckAnswered);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
