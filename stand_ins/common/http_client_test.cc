#include "stand_ins/common/http_client.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "http/staged_worker_test.h"
#include "stand_ins/common/broken_answers_test.h"

namespace burdockwheel::stand_ins {
namespace {

using http::testing::StagedWorker;

constexpr std::chrono::milliseconds kPause{10};

kernel::Result<HttpReply, HttpClientFailure> Request(
    const testing::AnswerParts& parts, std::chrono::milliseconds pause,
    StagedWorker::Ending ending) {
  const StagedWorker worker(parts, pause, ending);
  return TryHttpRequest(worker.Address().value, "GET", "/");
}

void CheckNoAnswer(const testing::AnswerParts& parts,
                   StagedWorker::Ending ending) {
  for (const auto pause : {std::chrono::milliseconds(0), kPause}) {
    const auto reply = Request(parts, pause, ending);
    BOOST_TEST(!reply.HasValue(), parts.front() << parts.back());
    if (reply.HasValue()) continue;
    BOOST_TEST((reply.Failure() == HttpClientFailure::kNoAnswer));
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HttpClientTest)

BOOST_AUTO_TEST_CASE(TakesNoMalformedAnswer) {
  for (const auto& parts : testing::MalformedAnswers())
    CheckNoAnswer(parts, StagedWorker::Ending::kClose);
}

BOOST_AUTO_TEST_CASE(TakesNoAnswerThatEndsWithAReset) {
  for (const auto& parts : testing::AnswersBeforeAReset())
    CheckNoAnswer(parts, StagedWorker::Ending::kReset);
}

BOOST_AUTO_TEST_CASE(TakesAWholeAnswerInParts) {
  const auto reply =
      Request({"HTTP/1.1 200 O", "K\r\nEtag: 3e1b\r\n\r\n", "all ", "of it"},
              kPause, StagedWorker::Ending::kClose);
  BOOST_REQUIRE(reply.HasValue());
  BOOST_TEST(reply.Value().status == 200);
  BOOST_TEST(reply.Value().body == "all of it");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
