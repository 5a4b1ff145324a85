// Workers that answer while the request is still being written, and end their
// connection before or after the answer is whole.
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <string>
#include <vector>

#include "http/pool_fixture_test.h"
#include "http/staged_worker_test.h"

namespace burdockwheel::http {

namespace {

using std::chrono::milliseconds;
using testing::StagedWorker;
using Ending = StagedWorker::Ending;

// More than the buffers of both sockets hold.
constexpr std::size_t kUploadBytes = std::size_t{24} << 20U;

// Long enough for what was written before to be read.
constexpr milliseconds kPause{20};

const std::string kHead = "HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n";
const std::string kChunkedHead = kHead + "Transfer-Encoding: chunked\r\n\r\n";

std::string Upload() {
  return "POST /a HTTP/1.1\r\nHost: w\r\nContent-Length: " +
         std::to_string(kUploadBytes) + "\r\n\r\n" +
         std::string(kUploadBytes, 'u');
}

// How the parts of an answer and its end reach the host.
enum class Arrival {
  kAtOnce,
  kInParts,
  kWhileBusy,  // all of it before the host's thread looks at it
};

// Holds a thread that runs an io_context.
class ThreadHold {
 public:
  explicit ThreadHold(boost::asio::io_context& context) : context(context) {}

  // Returns once the thread is held.
  void Begin() {
    boost::asio::post(this->context, [this] {
      this->has_begun.set_value();
      this->is_over.get_future().wait();
    });
    this->has_begun.get_future().wait();
  }

  void End() { this->is_over.set_value(); }

 private:
  boost::asio::io_context& context;
  std::promise<void> has_begun;
  std::promise<void> is_over;
};

class EarlyAnswerFixture : public testing::PoolFixture {
 public:
  using Check = std::function<void(const testing::Ended&)>;

  // Sends uploads on new connections and on ones that were kept, and hands the
  // end of each to `check`.
  void ForEachArrival(const std::vector<std::string>& parts, Ending ending,
                      const Check& check) {
    for (const auto arrival :
         {Arrival::kAtOnce, Arrival::kInParts, Arrival::kWhileBusy}) {
      for (const bool is_kept : {false, true}) {
        BOOST_TEST_CONTEXT("arrival " << static_cast<int>(arrival)
                                      << ", kept: " << is_kept << ", "
                                      << parts.front() << parts.back()) {
          ThreadHold hold(this->context);
          StagedWorker::Plan plan;
          plan.parts = parts;
          plan.pause = kPause;
          plan.ending = ending;
          plan.is_kept = is_kept;
          if (arrival == Arrival::kAtOnce) plan.pause = milliseconds(0);
          if (arrival == Arrival::kWhileBusy) {
            plan.before_parts = [&hold] { hold.Begin(); };
            plan.after_end = [&hold] { hold.End(); };
          }
          const StagedWorker worker(plan);
          if (is_kept) this->CallFirst(worker);
          check(this->Call(worker.Address(), Upload()));
        }
      }
    }
  }

 private:
  void CallFirst(const StagedWorker& worker) {
    const auto first =
        this->Call(worker.Address(), "GET /a HTTP/1.1\r\nHost: w\r\n\r\n");
    BOOST_TEST(first.answer.body == "first");
  }
};

void CheckBroken(const testing::Ended& ended, model::BreakCause cause) {
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken));
  BOOST_TEST((ended.outcome.cause == cause));
  BOOST_TEST(ended.answer.body.empty());
}

void CheckAnswered(const testing::Ended& ended) {
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kAnswered));
  BOOST_TEST(ended.answer.status == 200);
  BOOST_TEST(ended.answer.body == "all of it");
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EarlyAnswerTest, EarlyAnswerFixture)

// RFC 9112, section 8: a reset leaves an answer without a length incomplete.
BOOST_AUTO_TEST_CASE(FailsAnAnswerWithoutLengthThatIsReset) {
  const std::vector<std::vector<std::string>> cases = {
      {kHead + "\r\n", "part ", "of it"}, {kHead + "\r\n"}};
  for (const auto& parts : cases) {
    this->ForEachArrival(parts, Ending::kReset,
                         [](const testing::Ended& ended) {
                           CheckBroken(ended, model::BreakCause::kReset);
                         });
  }
}

BOOST_AUTO_TEST_CASE(FailsAnAnswerThatIsResetBeforeItsStatedEnd) {
  const std::vector<std::vector<std::string>> cases = {
      {kHead, "Content-Length: 9\r\n\r\n", "all of"},
      {kHead, "Content-Length: 9\r\n\r\n"},
      {kChunkedHead, "3\r\nall\r\n", "6\r\n of"},
      {kChunkedHead, "9\r\nall of it\r\n"},
      {kHead},
      {"HTTP/1.1 103 Early Hints\r\n\r\n", kHead}};
  for (const auto& parts : cases) {
    this->ForEachArrival(parts, Ending::kReset,
                         [](const testing::Ended& ended) {
                           CheckBroken(ended, model::BreakCause::kReset);
                         });
  }
}

BOOST_AUTO_TEST_CASE(TakesAnAnswerThatIsWholeBeforeTheReset) {
  const std::vector<std::vector<std::string>> cases = {
      {kHead, "Content-Length: 9\r\n\r\n", "all of it"},
      {kChunkedHead, "9\r\nall of it\r\n", "0\r\n\r\n"}};
  for (const auto& parts : cases)
    this->ForEachArrival(parts, Ending::kReset, CheckAnswered);
}

// The worker has ended its answer in order. That it reads no more of the
// request, and resets the connection for it, takes nothing from the answer.
BOOST_AUTO_TEST_CASE(TakesAnAnswerWithoutLengthThatTheWorkerHasEnded) {
  for (const auto ending : {Ending::kClose, Ending::kCloseThenReset})
    this->ForEachArrival({kHead + "\r\n", "all ", "of it"}, ending,
                         CheckAnswered);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
