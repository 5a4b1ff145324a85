#include "http/worker_pool.h"

#include <atomic>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <thread>
#include <utility>
#include <vector>

#include "http/hostile_bytes_test.h"
#include "http/loopback_fixture_test.h"
#include "http/pool_fixture_test.h"
#include "http/scripted_worker_test.h"

namespace burdockwheel::http {

namespace {

using testing::PoolFixture;
using testing::ScriptedWorker;

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

// A worker that stops in the middle of its head and closes has not answered,
// whether the connection is new or was used before.
BOOST_AUTO_TEST_CASE(AHeadThatIsCutShortIsNoAnswer) {
  const std::string interim = "HTTP/1.1 103 Early Hints\r\nLink: x\r\n\r\n";
  const std::string head = "HTTP/1.1 200 OK\r\nX: y\r\n";
  using Ending = ScriptedWorker::Ending;
  for (const std::string& whole :
       {head + "\r\n", head + "Content-Length: 9\r\n\r\n",
        interim + head + "Content-Length: 0\r\n\r\n"}) {
    for (const auto ending : {Ending::kOrderly, Ending::kReset}) {
      // Read on the worker's thread.
      std::atomic<std::size_t> cut = 0;
      std::atomic<bool> is_kept = false;
      ScriptedWorker worker(
          [&](const std::string&, bool& is_last) {
            if (is_kept.exchange(false)) return Sized("first");
            is_last = true;
            return whole.substr(0, cut);
          },
          nullptr, ending);
      // Each byte is tried in AnswerReaderTest.
      for (cut = 0; cut < whole.size(); cut += 5) {
        for (const bool is_second : {false, true}) {
          is_kept = is_second;
          if (is_second) this->Call(worker.Address(), kRequest);
          const auto ended = this->Call(worker.Address(), kRequest);
          BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken),
                     cut << " bytes of " << whole);
          BOOST_TEST(ended.answer.body.empty());
        }
      }
    }
  }
}

// Workers that send without an end, each less than one answer may have.
BOOST_AUTO_TEST_CASE(AnswersWithoutEndLeaveRoomForOthers) {
  constexpr std::size_t kBudget = std::size_t{1} << 20U;
  constexpr std::size_t kEndless = std::size_t{400} * 1024;
  constexpr int kFaulty = 6;
  this->OnThread([this] {
    WorkerPoolLimits limits;
    limits.max_unfinished_bytes = kBudget;
    this->pool = std::make_unique<WorkerPool>(
        this->context, *this->deadlines, DefaultMessageConventions(), limits);
  });
  std::vector<std::unique_ptr<ScriptedWorker>> faulty;
  for (int worker = 0; worker < kFaulty; ++worker) {
    faulty.push_back(
        std::make_unique<ScriptedWorker>([](const std::string&, bool&) {
          return "HTTP/1.1 200 OK\r\n\r\n" + std::string(kEndless, 'x');
        }));
    this->List(faulty.back()->Address());
  }
  ScriptedWorker sound(
      [](const std::string&, bool&) { return Sized(std::string(9000, 'y')); });
  std::atomic<int> given_up = 0;
  std::atomic<int> ended = 0;
  this->OnThread([&] {
    this->pool->SetWorkers(this->records);
    for (const auto& worker : faulty) {
      this->last_attempt.value += 1;
      this->pool->Send(
          this->last_attempt, {worker->Address().value}, {kRequest, false, ""},
          std::chrono::steady_clock::now() + std::chrono::seconds(2),
          [&](const model::AttemptOutcome& outcome, const Answer&) {
            ended += 1;
            if (outcome.cause == model::BreakCause::kNoMemory) given_up += 1;
          });
    }
  });
  // At most two of them fit.
  for (int call = 0; given_up < kFaulty - 2 && call < 500; ++call) {
    const auto answer = this->Call(sound.Address(), kRequest);
    BOOST_TEST((answer.outcome.result == model::AttemptResult::kAnswered));
    std::this_thread::sleep_for(std::chrono::milliseconds(2));
  }
  BOOST_TEST(given_up >= kFaulty - 2);
  while (ended < kFaulty)
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
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

// A worker that has left a request without an answer may leave all later ones
// on that connection without one.
BOOST_AUTO_TEST_CASE(UsesNoConnectionAgainThatFellSilent) {
  int connections = 0;
  ScriptedWorker worker(
      [&connections](const std::string&, bool&) {
        return connections == 1 ? std::string() : Sized("whole");
      },
      [&connections] { ++connections; });
  const auto silent =
      this->Call(worker.Address(), kRequest, std::chrono::milliseconds(50));
  BOOST_TEST((silent.outcome.result == model::AttemptResult::kTimedOut));
  const auto ended = this->Call(worker.Address(), kRequest);
  BOOST_TEST(ended.answer.body == "whole");
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

// A worker that writes without end neither fills the host's memory nor keeps
// the call until its deadline.
BOOST_AUTO_TEST_CASE(EndsAnAnswerWithoutEndLongBeforeItsDeadline) {
  constexpr std::size_t kEndless = std::size_t{64} << 20U;
  using model::BreakCause;
  const std::vector<std::pair<std::string, BreakCause>> cases = {
      {"", BreakCause::kMalformed},
      {"HTTP/1.1 200 OK\r\nX: ", BreakCause::kTooLarge},
      {"HTTP/1.1 200 OK\r\n\r\n", BreakCause::kTooLarge},
      {"HTTP/1.1 200 OK\r\nContent-Length: 99999999999\r\n\r\n",
       BreakCause::kTooLarge},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
       BreakCause::kTooLarge}};
  for (const auto& [beginning, cause] : cases) {
    ScriptedWorker worker(
        [&text = beginning](const std::string&, bool& is_last) {
          is_last = true;
          return text + std::string(kEndless, 'x');
        });
    const auto ended = this->Call(worker.Address(), kRequest);
    BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken));
    BOOST_TEST((ended.outcome.cause == cause));
    BOOST_TEST(ended.answer.body.empty());
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

// On a new connection and on one that was kept; what may have run is told so.
BOOST_AUTO_TEST_CASE(AStatusThatIsNoneIsNoAnswer) {
  for (const bool is_kept : {false, true}) {
    std::atomic<int> requests = 0;
    testing::ScriptedWorker worker(
        [&requests, is_kept](const std::string& /*request*/,
                             bool& /*is_last*/) {
          const bool is_sound = is_kept && requests++ == 0;
          return std::string(is_sound ? "HTTP/1.1 200 OK" : "HTTP/1.1 000 ") +
                 "\r\nContent-Length: 2\r\n\r\nok";
        });
    if (is_kept) {
      const auto sound = this->Call(worker.Address(), "GET / HTTP/1.1\r\n\r\n");
      BOOST_TEST(sound.answer.status == 200);
    }
    const auto ended = this->Call(worker.Address(), "GET / HTTP/1.1\r\n\r\n");
    BOOST_TEST((ended.outcome.result == model::AttemptResult::kBroken));
    BOOST_TEST((ended.outcome.cause == model::BreakCause::kMalformed));
    BOOST_TEST(ended.answer.body.empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
