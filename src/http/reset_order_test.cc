// The end of a worker's connection between any two steps of the host's event
// loop, while a request is being written.
#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <optional>
#include <string>
#include <utility>

#include "http/connection_ending_test.h"
#include "http/deadline_queue.h"
#include "http/loopback_fixture_test.h"
#include "http/message_conventions.h"
#include "http/worker_connection.h"

namespace burdockwheel::http {

namespace {

using Ending = testing::ConnectionEnding;
using testing::Tcp;

// More than the buffers of both sockets hold.
constexpr std::size_t kUploadBytes = std::size_t{24} << 20U;
constexpr std::chrono::seconds kPatience{10};

void CheckAnswered(const WorkerConnection::Ending& ending) {
  BOOST_TEST((ending.result == model::AttemptResult::kAnswered));
  BOOST_TEST(ending.answer.body == "all of it");
}

// Sends an upload to a worker that answers before it has read it. The event
// loop runs on the test's own thread, step by step.
class SteppedUpload {
 public:
  // With `is_kept`, the connection has carried another request before.
  explicit SteppedUpload(bool is_kept)
      : deadlines(this->context),
        shared{this->context, this->deadlines, DefaultMessageConventions(),
               std::size_t{1} << 20U, kPatience},
        acceptor(this->worker_context,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        worker(this->worker_context),
        connection(std::make_shared<WorkerConnection>(this->shared, nullptr)) {
    this->connection->Connect(this->acceptor.local_endpoint());
    this->acceptor.accept(this->worker);
    testing::LimitWaiting(this->worker);
    if (is_kept) this->CallFirst();
    this->Send("POST /a HTTP/1.1\r\nHost: w\r\nContent-Length: " +
               std::to_string(kUploadBytes) + "\r\n\r\n" +
               std::string(kUploadBytes, 'u'));
  }

  ~SteppedUpload() {
    this->connection->Abort(model::AttemptResult::kCancelled,
                            model::BreakCause::kCancelled);
    this->context.restart();
    this->context.poll();
  }

  SteppedUpload(const SteppedUpload&) = delete;
  SteppedUpload& operator=(const SteppedUpload&) = delete;

  void Step(int steps) {
    for (int step = 0; step < steps; ++step) this->context.poll_one();
  }

  // `framing`: the lines of the head that state where the body ends.
  void Answer(const std::string& framing) {
    boost::system::error_code error;
    boost::asio::write(
        this->worker,
        boost::asio::buffer("HTTP/1.1 200 OK\r\n" + framing + "\r\nall of it"),
        error);
    BOOST_REQUIRE(!error);
  }

  // Whether the connection took another request once the upload had ended.
  bool IsUsedAgain() const { return this->is_used_again; }

  void End(Ending how) { testing::EndConnection(this->worker, how); }

  const WorkerConnection::Ending& AwaitEnding() {
    const auto end = std::chrono::steady_clock::now() + kPatience;
    while (!this->ending && std::chrono::steady_clock::now() < end)
      this->context.run_one_for(kPatience);
    BOOST_REQUIRE(this->ending.has_value());
    return *this->ending;
  }

 private:
  void Send(std::string bytes) {
    OutgoingRequest request;
    request.bytes = std::move(bytes);
    this->connection->Send(std::move(request),
                           [this](WorkerConnection::Ending told) {
                             this->ending = std::move(told);
                             this->is_used_again = this->connection->IsIdle();
                           });
  }

  void CallFirst() {
    const std::string request = "GET /a HTTP/1.1\r\nHost: w\r\n\r\n";
    this->Send(request);
    // Connects and writes.
    while (this->worker.available() < request.size()) this->Step(1);
    BOOST_TEST(testing::ReadExactly(this->worker, request.size()) == request);
    this->Answer("Content-Length: 9\r\n");
    CheckAnswered(this->AwaitEnding());
    BOOST_TEST(this->is_used_again);
    this->ending.reset();
  }

  boost::asio::io_context context;
  boost::asio::io_context worker_context;
  DeadlineQueue deadlines;
  ConnectionContext shared;
  Tcp::acceptor acceptor;
  Tcp::socket worker;
  std::optional<WorkerConnection::Ending> ending;
  bool is_used_again = false;
  std::shared_ptr<WorkerConnection> connection;
};

// Calls `check` with the end of the request for each number of steps that the
// loop takes before the answer and before the end of the connection.
template <typename Check>
void ForEachOrder(Ending how, const Check& check,
                  const std::string& framing = {}) {
  constexpr int kMaxStepsBeforeEnd = 6;
  for (const bool is_kept : {false, true}) {
    // After the last number of steps, the write waits for the worker to read.
    for (const int before_answer : {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 500}) {
      for (int before_end = 0; before_end <= kMaxStepsBeforeEnd; ++before_end) {
        BOOST_TEST_CONTEXT(before_answer
                           << " steps before the answer, " << before_end
                           << " before the end, kept: " << is_kept) {
          SteppedUpload upload(is_kept);
          upload.Step(before_answer);
          upload.Answer(framing);
          upload.Step(before_end);
          upload.End(how);
          check(upload.AwaitEnding());
          BOOST_TEST(!upload.IsUsedAgain());
        }
      }
    }
  }
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ResetOrderTest)

BOOST_AUTO_TEST_CASE(AResetLeavesTheAnswerIncomplete) {
  ForEachOrder(Ending::kReset, [](const WorkerConnection::Ending& ending) {
    BOOST_TEST((ending.result == model::AttemptResult::kBroken));
    BOOST_TEST((ending.cause == model::BreakCause::kReset));
    BOOST_TEST(ending.answer.body.empty());
  });
}

BOOST_AUTO_TEST_CASE(ACloseEndsTheAnswer) {
  ForEachOrder(Ending::kClose, CheckAnswered);
}

BOOST_AUTO_TEST_CASE(AResetAfterTheCloseTakesNothingFromTheAnswer) {
  ForEachOrder(Ending::kCloseThenReset, CheckAnswered);
}

// The worker has not got the whole request, and reads no other one there.
BOOST_AUTO_TEST_CASE(AWholeAnswerBeforeTheResetEndsTheConnection) {
  ForEachOrder(Ending::kReset, CheckAnswered, "Content-Length: 9\r\n");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
