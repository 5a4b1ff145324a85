// Pipelined requests (RFC 9112, 9.3.2) over loopback, while answers take time.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <thread>
#include <vector>

#include "http/ip_address.h"
#include "http/listener_fixture_test.h"
#include "http/loopback_fixture_test.h"

namespace burdockwheel::http {

namespace {

using testing::ReadExactly;
using testing::Tcp;

// A listener whose requests wait until the test answers them.
class SlowListener : public testing::ListenerFixture {
 public:
  SlowListener()
      : ListenerFixture({[this](const std::shared_ptr<Exchange>& exchange) {
                           this->seen.push_back(exchange->request.target);
                           this->waiting.push_back(exchange);
                         },
                         nullptr, nullptr}) {}

  ~SlowListener() {
    this->OnThread([this] { this->waiting.clear(); });
    this->EndListener();
  }

  Tcp::socket Connect(boost::asio::io_context& own) const {
    Tcp::socket socket(own);
    socket.connect(*ParseEndpointOrNull(this->address));
    socket.set_option(Tcp::no_delay(true));
    testing::LimitWaiting(socket);
    return socket;
  }

  std::size_t CountSeen() {
    std::size_t count = 0;
    this->OnThread([this, &count] { count = this->seen.size(); });
    return count;
  }

  void AwaitSeen(std::size_t count) {
    const auto until =
        std::chrono::steady_clock::now() + testing::kSocketTimeout;
    while (this->CountSeen() < count) {
      BOOST_REQUIRE((std::chrono::steady_clock::now() < until));
      std::this_thread::sleep_for(std::chrono::milliseconds(1));
    }
  }

  // Answers the request that has waited longest with its own target.
  void AnswerNext() {
    this->OnThread([this] {
      const auto exchange = this->waiting.front();
      this->waiting.pop_front();
      Answer answer;
      answer.body = exchange->request.target;
      exchange->Respond(std::move(answer));
    });
  }

  // Of the listener's thread.
  std::vector<std::string> seen;
  std::deque<std::shared_ptr<Exchange>> waiting;
};

std::string TargetOf(int number) { return "/call" + std::to_string(number); }

std::string RequestFor(int number, std::size_t body_bytes) {
  return "POST " + TargetOf(number) + " HTTP/1.1\r\nHost: h\r\n" +
         "Content-Length: " + std::to_string(body_bytes) + "\r\n\r\n" +
         std::string(body_bytes, 'b');
}

std::string AnswerTo(int number) {
  const auto target = TargetOf(number);
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(target.size()) +
         "\r\n\r\n" + target;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(PipeliningTest, SlowListener)

// Guards against a call that is passed on twice, and whose answer is given to
// the next one, after it was pipelined behind a slow call.
BOOST_AUTO_TEST_CASE(PassesOnOnceWhatWasPipelinedBehindASlowCall) {
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  boost::asio::write(socket, boost::asio::buffer(RequestFor(1, 0)));
  this->AwaitSeen(1);
  boost::asio::write(socket, boost::asio::buffer(RequestFor(2, 0)));
  // Until it has been read ahead.
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  this->AnswerNext();
  this->AwaitSeen(2);
  this->AnswerNext();
  const auto expected = AnswerTo(1) + AnswerTo(2);
  BOOST_TEST(ReadExactly(socket, expected.size()) == expected);
  boost::asio::write(socket, boost::asio::buffer(RequestFor(3, 0)));
  this->AwaitSeen(3);
  this->AnswerNext();
  BOOST_TEST(ReadExactly(socket, AnswerTo(3).size()) == AnswerTo(3));
  this->OnThread([this] {
    const std::vector<std::string> expected_targets = {TargetOf(1), TargetOf(2),
                                                       TargetOf(3)};
    BOOST_TEST(this->seen == expected_targets,
               boost::test_tools::per_element());
  });
}

// Writes in pieces of random sizes while answers come at random times: each
// request is passed on once, in order, and gets its own answer.
BOOST_AUTO_TEST_CASE(KeepsTheOrderWhateverThePiecesAndAnswerTimes) {
  constexpr int kConnections = 20;
  constexpr int kRequests = 25;
  std::mt19937_64 random(5);
  const auto draw = [&random](std::size_t least, std::size_t most) {
    return std::uniform_int_distribution<std::size_t>(least, most)(random);
  };
  int last_number = 0;
  for (int connection = 0; connection < kConnections; ++connection) {
    boost::asio::io_context own;
    auto socket = this->Connect(own);
    const auto seen_before = this->CountSeen();
    const auto first = last_number + 1;
    std::string bytes;
    std::string expected;
    for (int request = 0; request < kRequests; ++request) {
      bytes += RequestFor(++last_number, draw(0, 3) == 0 ? draw(1, 20'000) : 0);
      expected += AnswerTo(last_number);
    }
    std::size_t answered = 0;
    std::size_t written = 0;
    const auto until =
        std::chrono::steady_clock::now() + testing::kSocketTimeout;
    while (answered < kRequests) {
      BOOST_REQUIRE((std::chrono::steady_clock::now() < until));
      if (written < bytes.size() && draw(0, 2) > 0) {
        const auto size = std::min(bytes.size() - written, draw(1, 400));
        // Larger pieces from time to time, so that bodies come through.
        const auto piece =
            draw(0, 4) == 0
                ? std::min(bytes.size() - written, draw(1, std::size_t{30'000}))
                : size;
        boost::asio::write(socket,
                           boost::asio::buffer(bytes.data() + written, piece));
        written += piece;
      }
      bool has_waiting = false;
      this->OnThread(
          [this, &has_waiting] { has_waiting = !this->waiting.empty(); });
      if (!has_waiting) continue;
      this->AnswerNext();
      answered += 1;
    }
    BOOST_REQUIRE(ReadExactly(socket, expected.size()) == expected);
    this->OnThread([this, seen_before, first] {
      BOOST_REQUIRE(this->seen.size() == seen_before + kRequests);
      for (int request = 0; request < kRequests; ++request) {
        BOOST_REQUIRE(this->seen[seen_before + request] ==
                      TargetOf(first + request));
      }
    });
  }
}

// Guards against a request that is read ahead being passed on after its
// connection has ended.
BOOST_AUTO_TEST_CASE(PassesOnNothingThatWasReadAheadOnceTheCallerHasGone) {
  boost::asio::io_context own;
  {
    auto socket = this->Connect(own);
    boost::asio::write(socket, boost::asio::buffer(RequestFor(1, 0)));
    this->AwaitSeen(1);
    boost::asio::write(socket, boost::asio::buffer(RequestFor(2, 0)));
    std::this_thread::sleep_for(std::chrono::milliseconds(30));
  }
  // Until the end of the connection has been read.
  bool is_open = true;
  const auto until = std::chrono::steady_clock::now() + testing::kSocketTimeout;
  while (is_open && std::chrono::steady_clock::now() < until) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
    this->OnThread(
        [this, &is_open] { is_open = this->waiting.front()->IsOpen(); });
  }
  BOOST_TEST(!is_open);
  this->AnswerNext();
  std::this_thread::sleep_for(std::chrono::milliseconds(30));
  BOOST_TEST(this->CountSeen() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
