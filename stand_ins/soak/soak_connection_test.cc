#include "stand_ins/soak/soak_connection.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>

#include "http/staged_worker_test.h"
#include "stand_ins/common/broken_answers_test.h"

namespace burdockwheel::stand_ins {
namespace {

using http::testing::StagedWorker;

constexpr std::chrono::milliseconds kPause{10};
constexpr std::chrono::milliseconds kPatience{5000};

// Sends one request, the second of its connection if `is_kept`.
SoakSendResult Send(const testing::AnswerParts& parts,
                    StagedWorker::Ending ending, bool is_kept) {
  const StagedWorker worker(parts, kPause, ending, is_kept);
  boost::asio::io_context context;
  const auto connection =
      std::make_shared<SoakConnection>(context, worker.Address().value);
  std::optional<SoakSendResult> last;
  for (int sends = is_kept ? 2 : 1; sends > 0; --sends) {
    last.reset();
    connection->Send(
        "GET / HTTP/1.1\r\nHost: w\r\n\r\n", kPatience,
        [&last](SoakSendResult result, const SoakAnswer&) { last = result; });
    context.restart();
    context.run();
  }
  BOOST_REQUIRE(last.has_value());
  return *last;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SoakConnectionTest)

BOOST_AUTO_TEST_CASE(TellsAMalformedAnswerFromAClose) {
  for (const auto& parts : testing::MalformedAnswers()) {
    for (const bool is_kept : {false, true}) {
      const auto result = Send(parts, StagedWorker::Ending::kClose, is_kept);
      BOOST_TEST((result == SoakSendResult::kMalformed),
                 parts.front() << parts.back() << ", kept: " << is_kept);
    }
  }
}

BOOST_AUTO_TEST_CASE(TakesNoAnswerThatEndsWithAReset) {
  for (const auto& parts : testing::AnswersBeforeAReset()) {
    for (const bool is_kept : {false, true}) {
      const auto result = Send(parts, StagedWorker::Ending::kReset, is_kept);
      BOOST_TEST((result == SoakSendResult::kClosed),
                 parts.front() << parts.back() << ", kept: " << is_kept);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
