#include "http/worker_pool.h"

#include <atomic>
#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <cerrno>
#include <future>
#include <string>
#include <vector>

#include "http/hostile_bytes_test.h"
#include "http/loopback_fixture_test.h"

namespace burdockwheel::http {

namespace {

using testing::LoopbackFixture;
using testing::Tcp;

struct Ended {
  model::AttemptOutcome outcome;
  Answer answer;
};

// A worker that answers each connection's requests with given bytes. Runs on a
// thread of its own with blocking sockets.
class ScriptedWorker {
 public:
  // Returns the bytes to answer a request with; the connection is then closed
  // if `is_last` was set.
  using Script =
      std::function<std::string(const std::string& request, bool& is_last)>;

  explicit ScriptedWorker(Script script)
      : script(std::move(script)),
        acceptor(this->context,
                 Tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
        thread([this] { this->Serve(); }) {}

  ~ScriptedWorker() {
    this->is_ending = true;
    boost::system::error_code ignored;
    Tcp::socket waker(this->context);
    waker.connect(this->acceptor.local_endpoint(), ignored);
    this->thread.join();
  }

  model::WorkerAddress Address() const {
    return {"127.0.0.1:" +
            std::to_string(this->acceptor.local_endpoint().port())};
  }

 private:
  void Serve() {
    while (!this->is_ending) {
      Tcp::socket socket(this->context);
      boost::system::error_code error;
      this->acceptor.accept(socket, error);
      if (error || this->is_ending) return;
      testing::LimitWaiting(socket, std::chrono::milliseconds(20));
      this->ServeConnection(socket);
    }
  }

  void ServeConnection(Tcp::socket& socket) {
    char buffer[4096];
    bool is_last = false;
    while (!is_last) {
      const auto size = recv(socket.native_handle(), buffer, sizeof(buffer), 0);
      const bool is_timeout = size < 0 && errno == EAGAIN;
      if (is_timeout && !this->is_ending) continue;
      if (size <= 0) return;
      const auto answer = this->script(
          std::string(buffer, static_cast<std::size_t>(size)), is_last);
      boost::system::error_code ignored;
      boost::asio::write(socket, boost::asio::buffer(answer), ignored);
    }
  }

  Script script;
  boost::asio::io_context context;
  Tcp::acceptor acceptor;
  std::atomic<bool> is_ending{false};
  std::thread thread;
};

class PoolFixture : public LoopbackFixture {
 public:
  PoolFixture() {
    this->OnThread([this] {
      this->deadlines = std::make_unique<DeadlineQueue>(this->context);
      this->pool = std::make_unique<WorkerPool>(this->context, *this->deadlines,
                                                DefaultMessageConventions(),
                                                WorkerPoolLimits());
    });
  }

  ~PoolFixture() {
    this->OnThread([this] {
      this->pool.reset();
      this->deadlines.reset();
    });
  }

  void OnThread(const std::function<void()>& function) {
    std::promise<void> done;
    boost::asio::post(this->context, [&function, &done] {
      function();
      done.set_value();
    });
    done.get_future().get();
  }

  Ended Call(const model::WorkerAddress& worker, const std::string& bytes,
             std::chrono::milliseconds patience = std::chrono::seconds(10)) {
    std::promise<Ended> ended;
    this->last_attempt.value += 1;
    this->List(worker);
    this->OnThread([&] {
      this->pool->SetWorkers(this->records);
      this->pool->Send(
          this->last_attempt, {worker.value}, {bytes, false, ""},
          std::chrono::steady_clock::now() + patience,
          [&ended](const model::AttemptOutcome& outcome, Answer answer) {
            ended.set_value({outcome, std::move(answer)});
          });
    });
    return ended.get_future().get();
  }

  // Adds the worker to those that the pool is told of.
  void List(const model::WorkerAddress& worker) {
    for (const auto& record : this->records) {
      if (record.address == worker) return;
    }
    this->records.push_back({.id = {worker.value}, .address = worker});
  }

  std::unique_ptr<DeadlineQueue> deadlines;
  std::unique_ptr<WorkerPool> pool;
  std::vector<model::WorkerRecord> records;
  model::AttemptId last_attempt;
};

const std::string kRequest = "GET /a HTTP/1.1\r\nHost: w\r\n\r\n";

std::string Sized(const std::string& body) {
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerPoolTest, PoolFixture)

BOOST_AUTO_TEST_CASE(UsesAConnectionAgain) {
  ScriptedWorker worker(
      [](const std::string&, bool&) { return Sized("whole"); });
  for (int call = 0; call < 3; ++call) {
    const auto ended = this->Call(worker.Address(), kRequest);
    BOOST_TEST((ended.outcome.result == model::AttemptResult::kAnswered));
    BOOST_TEST(ended.answer.body == "whole");
  }
  this->OnThread([this] { BOOST_TEST(this->pool->ConnectionCount() == 1U); });
}

// A host of a large fleet would else keep connections to every worker.
BOOST_AUTO_TEST_CASE(ClosesIdleConnections) {
  ScriptedWorker worker(
      [](const std::string&, bool&) { return Sized("whole"); });
  this->OnThread([this] {
    WorkerPoolLimits limits;
    limits.idle_timeout = std::chrono::milliseconds(50);
    limits.sweep_period = std::chrono::milliseconds(10);
    this->pool = std::make_unique<WorkerPool>(
        this->context, *this->deadlines, DefaultMessageConventions(), limits);
  });
  const auto ended = this->Call(worker.Address(), kRequest);
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kAnswered));
  std::size_t connections = 1;
  for (int look = 0; look < 500 && connections > 0; ++look) {
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    this->OnThread([&] { connections = this->pool->ConnectionCount(); });
  }
  BOOST_TEST(connections == 0U);
}

BOOST_AUTO_TEST_CASE(TellsThatNothingWasSentToARefusingAddress) {
  const auto ended = this->Call({testing::FreeAddress()}, kRequest);
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kNotSent));
}

BOOST_AUTO_TEST_CASE(TellsThatATruncatedAnswerIsBroken) {
  ScriptedWorker worker([](const std::string&, bool& is_last) {
    is_last = true;
    return std::string("HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf");
  });
  const auto ended = this->Call(worker.Address(), kRequest);
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken));
}

BOOST_AUTO_TEST_CASE(TellsARefusalThatTheWorkerStates) {
  ScriptedWorker worker([](const std::string&, bool&) {
    return std::string(
        "HTTP/1.1 503 Busy\r\nBurdockwheel-Run: not-run\r\n"
        "Burdockwheel-Load: in-flight=6, queued=2, draining\r\n"
        "Content-Length: 0\r\n\r\n");
  });
  const auto ended = this->Call(worker.Address(), kRequest);
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kRefused));
  BOOST_REQUIRE(ended.outcome.report.has_value());
  BOOST_TEST(ended.outcome.report->calls_queued == 2);
  BOOST_TEST(ended.outcome.report->is_draining);
}

BOOST_AUTO_TEST_CASE(EndsAnAttemptAtItsDeadline) {
  ScriptedWorker worker(
      [](const std::string&, bool&) { return std::string(); });
  const auto ended =
      this->Call(worker.Address(), kRequest, std::chrono::milliseconds(50));
  BOOST_TEST((ended.outcome.result == model::AttemptResult::kTimedOut));
}

// Bytes beyond an answer must never be taken for the next call's answer.
BOOST_AUTO_TEST_CASE(DropsAConnectionWithSurplusBytes) {
  ScriptedWorker worker([](const std::string&, bool& is_last) {
    is_last = true;
    return Sized("first") + Sized("stale");
  });
  for (int call = 0; call < 3; ++call) {
    const auto ended = this->Call(worker.Address(), kRequest);
    BOOST_TEST((ended.outcome.result == model::AttemptResult::kAnswered));
    BOOST_TEST(ended.answer.body == "first");
  }
}

// The end of an attempt may still be on its way when the pool ends.
BOOST_AUTO_TEST_CASE(EndsWhileTheEndOfAnAttemptWaits) {
  boost::asio::io_context own;
  DeadlineQueue own_deadlines(own);
  auto ending = std::make_unique<WorkerPool>(
      own, own_deadlines, DefaultMessageConventions(), WorkerPoolLimits());
  bool is_completed = false;
  const model::AttemptId attempt{7};
  ending->Send(attempt, {"unknown"}, {kRequest, false, ""},
               std::chrono::steady_clock::now() + std::chrono::seconds(1),
               [&is_completed](const model::AttemptOutcome&, const Answer&) {
                 is_completed = true;
               });
  ending->Cancel(attempt);
  ending.reset();
  own.poll();
  BOOST_TEST(!is_completed);
}

BOOST_AUTO_TEST_CASE(EndsEachCallBesideTenThousandHostileAnswers) {
  const std::vector<std::string> samples = {
      Sized("hello"),
      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "HTTP/1.1 100 Continue\r\n\r\n" + Sized("after"),
      "HTTP/1.1 101 Switching Protocols\r\n\r\n"};
  std::mt19937_64 random(11);
  ScriptedWorker hostile([&](const std::string&, bool& is_last) {
    is_last = true;
    return testing::Mutate(samples, random);
  });
  ScriptedWorker good([](const std::string& request, bool&) {
    return Sized(request.substr(0, request.find("\r\n")));
  });
  for (int call = 0; call < 10'000; ++call) {
    this->Call(hostile.Address(), kRequest);
    if (call % 10 != 0) continue;
    const auto line = "GET /" + std::to_string(call) + " HTTP/1.1";
    const auto ended = this->Call(good.Address(), line + "\r\nHost: w\r\n\r\n");
    BOOST_REQUIRE((ended.outcome.result == model::AttemptResult::kAnswered));
    BOOST_REQUIRE_EQUAL(ended.answer.body, line);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
