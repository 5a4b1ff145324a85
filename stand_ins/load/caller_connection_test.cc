#include "stand_ins/load/caller_connection.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <utility>

#include "http/staged_worker_test.h"
#include "stand_ins/common/broken_answers_test.h"

namespace burdockwheel::stand_ins {
namespace {

using http::testing::StagedWorker;

constexpr std::chrono::milliseconds kPause{10};

struct Sending {
  SendResult result = SendResult::kTimedOut;
  std::string label;  // of the verdict
};

// Sends one request, the second of its connection if `is_kept`.
Sending Send(const testing::AnswerParts& parts, StagedWorker::Ending ending,
             bool is_kept) {
  const StagedWorker worker(parts, kPause, ending, is_kept);
  boost::asio::io_context context;
  std::optional<Sending> last;
  const auto connection = CallerConnection::Create(
      context, worker.Address().value,
      [&last](const auto&, SendResult result, const PendingSend& send) {
        last = Sending{result, JudgeSend(result, send.check).label};
      });
  for (int sends = is_kept ? 2 : 1; sends > 0; --sends) {
    PendingSend send;
    send.request = "GET / HTTP/1.1\r\nHost: w\r\n\r\n";
    send.check = AnswerCheck(1, 9);
    last.reset();
    connection->Send(std::move(send));
    context.restart();
    context.run();
  }
  BOOST_REQUIRE(last.has_value());
  return *last;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CallerConnectionTest)

BOOST_AUTO_TEST_CASE(TakesNoMalformedAnswer) {
  for (const auto& parts : testing::MalformedAnswers()) {
    for (const bool is_kept : {false, true}) {
      const auto sending = Send(parts, StagedWorker::Ending::kClose, is_kept);
      BOOST_TEST((sending.result == SendResult::kMalformed),
                 parts.front() << parts.back() << ", kept: " << is_kept);
      BOOST_TEST(sending.label == "malformed");
    }
  }
}

BOOST_AUTO_TEST_CASE(TakesNoAnswerThatEndsWithAReset) {
  for (const auto& parts : testing::AnswersBeforeAReset()) {
    for (const bool is_kept : {false, true}) {
      const auto sending = Send(parts, StagedWorker::Ending::kReset, is_kept);
      BOOST_TEST((sending.result == SendResult::kLost),
                 parts.front() << parts.back() << ", kept: " << is_kept);
    }
  }
}

BOOST_AUTO_TEST_CASE(TakesAnAnswerWithoutLengthThatIsClosed) {
  const auto sending = Send({"HTTP/1.1 500 No\r\n", "\r\nall of it"},
                            StagedWorker::Ending::kClose, false);
  BOOST_TEST((sending.result == SendResult::kAnswered));
  BOOST_TEST(sending.label == "status-500");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
