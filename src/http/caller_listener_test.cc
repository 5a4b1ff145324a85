#include "http/caller_listener.h"

#include <boost/asio/post.hpp>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <future>
#include <string>
#include <vector>

#include "http/hostile_bytes_test.h"
#include "http/ip_address.h"
#include "http/loopback_fixture_test.h"

namespace burdockwheel::http {

namespace {

using testing::LoopbackFixture;
using testing::ReadExactly;
using testing::ReadToEnd;
using testing::Tcp;

constexpr std::size_t kMostSessions = 1000;
constexpr std::size_t kHeldBodyBytes = std::size_t{1} << 20U;

// A listener whose answers carry the request's target and body back.
class EchoListener : public LoopbackFixture {
 public:
  EchoListener() : address(testing::FreeAddress()) {
    std::promise<bool> listening;
    boost::asio::post(this->context, [this, &listening] {
      this->listener = std::make_unique<CallerListener>(
          this->context, SessionLimits(), kMostSessions,
          SessionHooks{[](const std::shared_ptr<Exchange>& exchange) {
                         Answer answer;
                         answer.body =
                             exchange->request.target + exchange->request.body;
                         exchange->Respond(std::move(answer));
                       },
                       nullptr, &this->body_budget});
      listening.set_value(this->listener->TryListen(this->address).HasValue());
    });
    BOOST_REQUIRE(listening.get_future().get());
  }

  ~EchoListener() {
    std::promise<void> ended;
    boost::asio::post(this->context, [this, &ended] {
      this->listener.reset();
      ended.set_value();
    });
    ended.get_future().get();
  }

  Tcp::socket Connect(boost::asio::io_context& own) const {
    Tcp::socket socket(own);
    socket.connect(*ParseEndpointOrNull(this->address));
    testing::LimitWaiting(socket);
    return socket;
  }

  // The header's time-out is shorter than tests wait for an answer.
  void SetMostHeaderBytes(std::size_t most_bytes) {
    std::promise<void> is_set;
    boost::asio::post(this->context, [this, most_bytes, &is_set] {
      SessionLimits limits;
      limits.read.most_header_bytes = most_bytes;
      limits.header_timeout = std::chrono::milliseconds(2000);
      this->listener->SetLimits(limits);
      is_set.set_value();
    });
    is_set.get_future().get();
  }

  std::string address;
  BodyBudget body_budget{kHeldBodyBytes};
  std::unique_ptr<CallerListener> listener;
};

std::string EchoRequest(const std::string& token) {
  return "POST /" + token + " HTTP/1.1\r\nHost: h\r\nContent-Length: " +
         std::to_string(token.size()) + "\r\n\r\n" + token;
}

std::string EchoAnswer(const std::string& token) {
  const auto body = "/" + token + token;
  return "HTTP/1.1 200 OK\r\nContent-Length: " + std::to_string(body.size()) +
         "\r\n\r\n" + body;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallerListenerTest, EchoListener)

BOOST_AUTO_TEST_CASE(AnswersPipelinedRequestsInOrder) {
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  std::string requests;
  std::string expected;
  for (int number = 0; number < 50; ++number) {
    requests += EchoRequest("token" + std::to_string(number));
    expected += EchoAnswer("token" + std::to_string(number));
  }
  boost::asio::write(socket, boost::asio::buffer(requests));
  BOOST_TEST(ReadExactly(socket, expected.size()) == expected);
}

BOOST_AUTO_TEST_CASE(TellsTheCallerToContinue) {
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  const std::string head =
      "POST /a HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\n"
      "Content-Length: 1\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  BOOST_TEST(ReadExactly(socket, interim.size()) == interim);
  boost::asio::write(socket, boost::asio::buffer("b", 1));
  const std::string expected =
      "HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n/ab";
  BOOST_TEST(ReadExactly(socket, expected.size()) == expected);
}

// A header beyond what is read ahead was once waited for and never read on, up
// to the 408 after the header's time-out.
BOOST_AUTO_TEST_CASE(ReadsAHeaderUpToTheConfiguredSize) {
  constexpr int kFields = 20;
  constexpr std::size_t kFieldBytes = std::size_t{20} * 1024;
  this->SetMostHeaderBytes(kFields * kFieldBytes * 2);
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  std::string request = "GET /a HTTP/1.1\r\nHost: h\r\n";
  for (int field = 0; field < kFields; ++field) {
    request += "Note-" + std::to_string(field) + ": " +
               std::string(kFieldBytes, 'n') + "\r\n";
  }
  boost::asio::write(socket, boost::asio::buffer(request + "\r\n"));
  const std::string expected = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n/a";
  BOOST_TEST(ReadExactly(socket, expected.size()) == expected);
}

// One field of more than 65,535 bytes once ended the process, where the
// configured size of a header allowed it.
BOOST_AUTO_TEST_CASE(OutlivesAFieldThatIsTooLongToStore) {
  constexpr std::size_t kFieldBytes = std::size_t{66} * 1024;
  this->SetMostHeaderBytes(2 * kFieldBytes);
  for (const bool is_name_long : {false, true}) {
    boost::asio::io_context own;
    auto socket = this->Connect(own);
    const std::string text(kFieldBytes, 'n');
    const std::string field = is_name_long ? text + ": x" : "Note: " + text;
    boost::asio::write(
        socket, boost::asio::buffer("GET /a HTTP/1.1\r\nHost: h\r\n" + field +
                                    "\r\n\r\n"));
    BOOST_TEST(ReadToEnd(socket).starts_with("HTTP/1.1 431 "));
  }
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  boost::asio::write(socket, boost::asio::buffer(EchoRequest("b")));
  BOOST_TEST(ReadExactly(socket, EchoAnswer("b").size()) == EchoAnswer("b"));
}

// Each of the sizes is allowed, but not all at the same time.
BOOST_AUTO_TEST_CASE(RefusesABodyThatItCannotHoldBeforeReadingIt) {
  boost::asio::io_context own;
  const auto head = [](const std::string& further) {
    return "POST /a HTTP/1.1\r\nHost: h\r\n" + further +
           "Content-Length: 700000\r\n\r\n";
  };
  const std::string interim = "HTTP/1.1 100 Continue\r\n\r\n";
  auto held = this->Connect(own);
  boost::asio::write(held,
                     boost::asio::buffer(head("Expect: 100-continue\r\n")));
  BOOST_REQUIRE(ReadExactly(held, interim.size()) == interim);
  // A caller that waits for the word is told no, and one that does not is
  // answered before the connection ends, although it goes on sending.
  for (const std::string expectation : {"Expect: 100-continue\r\n", ""}) {
    auto refused = this->Connect(own);
    boost::asio::write(refused, boost::asio::buffer(head(expectation)));
    if (expectation.empty()) {
      boost::system::error_code ignored;
      boost::asio::write(
          refused, boost::asio::buffer(std::string(100'000, 'b')), ignored);
    }
    const auto answer = ReadToEnd(refused);
    BOOST_TEST(answer.starts_with("HTTP/1.1 503 "));
    BOOST_TEST(answer.find("\"run\":\"not-run\"") != std::string::npos);
    BOOST_TEST(answer.find("Retry-After: 1\r\n") != std::string::npos);
  }
  boost::asio::write(held, boost::asio::buffer(std::string(700'000, 'b')));
  const std::string status = "HTTP/1.1 200 OK\r\n";
  BOOST_TEST(ReadExactly(held, status.size()) == status);
  BOOST_TEST(ReadExactly(held, 700'000).size() == 700'000U);
  // What was held is free again.
  auto next = this->Connect(own);
  boost::asio::write(next,
                     boost::asio::buffer(head("Expect: 100-continue\r\n")));
  BOOST_TEST(ReadExactly(next, interim.size()) == interim);
}

BOOST_AUTO_TEST_CASE(LeavesTheBodyOutOfAnAnswerToHead) {
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  const std::string head =
      "HEAD /ab HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(head));
  BOOST_TEST(ReadToEnd(socket) ==
             "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 3\r\n"
             "\r\n");
}

// A planned stop must not cut a request that a caller sends on a connection
// that was idle when the stop was announced.
BOOST_AUTO_TEST_CASE(AnswersTheNextRequestAfterTheCloseWasAnnounced) {
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  const auto first = EchoAnswer("first");
  boost::asio::write(socket, boost::asio::buffer(EchoRequest("first")));
  BOOST_TEST(ReadExactly(socket, first.size()) == first);
  std::promise<void> announced;
  boost::asio::post(this->context, [this, &announced] {
    this->listener->AnnounceClose();
    announced.set_value();
  });
  announced.get_future().get();
  boost::asio::write(socket, boost::asio::buffer(EchoRequest("last")));
  BOOST_TEST(ReadToEnd(socket) ==
             "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 9\r\n"
             "\r\n/lastlast");
}

// A request that cannot be read may be the resend of a call that has run.
BOOST_AUTO_TEST_CASE(SaysUnknownOfARequestThatItCannotRead) {
  boost::asio::io_context own;
  auto socket = this->Connect(own);
  const std::string faulty =
      "POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\n";
  boost::asio::write(socket, boost::asio::buffer(faulty));
  const auto answer = ReadToEnd(socket);
  BOOST_TEST(answer.find("400 Bad Request") != std::string::npos);
  BOOST_TEST(answer.find("\"run\":\"unknown\"") != std::string::npos);
}

// A connection that was accepted may still wait for the listener's handler
// when the listener ends.
BOOST_AUTO_TEST_CASE(EndsWhileAnAcceptedConnectionWaits) {
  boost::asio::io_context own;
  const auto own_address = testing::FreeAddress();
  std::size_t rejected = 0;
  SessionHooks hooks;
  hooks.on_rejected = [&rejected](const std::string&, int) { ++rejected; };
  // Rejects each connection, so that each handler that runs is counted.
  auto ending =
      std::make_unique<CallerListener>(own, SessionLimits(), 0, hooks);
  BOOST_REQUIRE(ending->TryListen(own_address).HasValue());
  Tcp::socket first(own);
  Tcp::socket second(own);
  first.connect(*ParseEndpointOrNull(own_address));
  second.connect(*ParseEndpointOrNull(own_address));
  while (rejected == 0) own.run_one();
  ending.reset();
  own.poll();
  BOOST_TEST(rejected == 1U);
}

BOOST_AUTO_TEST_CASE(AnswersWellFormedCallsBesideTenThousandHostileInputs) {
  const std::vector<std::string> samples = {
      EchoRequest("abc"),
      "GET /x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
      "5\r\nhello\r\n0\r\n\r\n",
      "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\n"
      "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n"};
  std::mt19937_64 random(7);
  boost::asio::io_context own;
  auto good = this->Connect(own);
  for (int input = 0; input < 10'000; ++input) {
    auto hostile = this->Connect(own);
    const auto bytes = testing::Mutate(samples, random);
    boost::system::error_code ignored;
    boost::asio::write(hostile, boost::asio::buffer(bytes), ignored);
    if (input % 10 == 0) {
      const auto token = "call" + std::to_string(input);
      boost::asio::write(good, boost::asio::buffer(EchoRequest(token)));
      const auto expected = EchoAnswer(token);
      BOOST_REQUIRE_EQUAL(ReadExactly(good, expected.size()), expected);
    }
    // Ends the connection at once rather than leaving it to wait.
    hostile.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    hostile.close(ignored);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
