// Callers that do not read their answers, over loopback.
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <memory>
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

constexpr std::size_t kAnswerBytes = std::size_t{4} << 20U;
// Room for two answers and their heads.
constexpr std::size_t kHeldBytes = (std::size_t{8} << 20U) + 4096;
constexpr int kReceiveBufferBytes = 4096;

// A listener that answers each request with a large document.
class DocumentListener : public testing::ListenerFixture {
 public:
  DocumentListener()
      : ListenerFixture({[this](const std::shared_ptr<Exchange>& exchange) {
                           exchange->on_undelivered = [this] {
                             this->undelivered += 1;
                           };
                           Answer answer;
                           answer.body = std::string(kAnswerBytes, 'd');
                           exchange->Respond(std::move(answer));
                         },
                         nullptr, nullptr, &this->budget}) {}

  ~DocumentListener() { this->EndListener(); }

  // A connection whose caller has sent a request.
  Tcp::socket Ask(boost::asio::io_context& own) const {
    Tcp::socket socket(own);
    const auto endpoint = *ParseEndpointOrNull(this->address);
    socket.open(endpoint.protocol());
    socket.set_option(
        boost::asio::socket_base::receive_buffer_size(kReceiveBufferBytes));
    socket.connect(endpoint);
    testing::LimitWaiting(socket);
    const std::string request = "GET /d HTTP/1.1\r\nHost: h\r\n\r\n";
    boost::asio::write(socket, boost::asio::buffer(request));
    return socket;
  }

  std::size_t HeldBytes() {
    std::size_t bytes = 0;
    this->OnThread([this, &bytes] { bytes = this->budget.UsedBytes(); });
    return bytes;
  }

  DeliveryBudget budget{kHeldBytes};
  int undelivered = 0;  // of the listener's thread
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SlowReaderTest, DocumentListener)

// Guards against a host that is killed for its memory by callers that leave
// their answers unread.
BOOST_AUTO_TEST_CASE(BoundsWhatIsHeldForCallersThatDoNotRead) {
  constexpr int kStalled = 6;
  const std::string head = "HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n";
  boost::asio::io_context own;
  std::vector<Tcp::socket> stalled;
  for (int caller = 0; caller < kStalled; ++caller) {
    stalled.push_back(this->Ask(own));
    std::this_thread::sleep_for(std::chrono::milliseconds(10));
    BOOST_TEST(this->HeldBytes() <= kHeldBytes);
    // Callers that read get whole answers meanwhile.
    auto reading = this->Ask(own);
    BOOST_TEST(ReadExactly(reading, head.size()) == head);
    BOOST_TEST(ReadExactly(reading, kAnswerBytes).size() == kAnswerBytes);
    BOOST_TEST(this->HeldBytes() <= kHeldBytes);
  }
  this->OnThread([this] {
    BOOST_TEST(this->undelivered >= kStalled - 2);
    BOOST_TEST(this->budget.GivenUpCount() ==
               static_cast<std::uint64_t>(this->undelivered));
  });
}

BOOST_AUTO_TEST_CASE(HoldsNothingOnceTheAnswersAreRead) {
  boost::asio::io_context own;
  std::vector<Tcp::socket> callers;
  for (int caller = 0; caller < 4; ++caller) {
    callers.push_back(this->Ask(own));
    const auto whole =
        kAnswerBytes +
        std::string("HTTP/1.1 200 OK\r\nContent-Length: 4194304\r\n\r\n")
            .size();
    BOOST_TEST(ReadExactly(callers.back(), whole).size() == whole);
  }
  // The last write may still wait for its handler.
  const auto until = std::chrono::steady_clock::now() + testing::kSocketTimeout;
  while (this->HeldBytes() > 0 && std::chrono::steady_clock::now() < until)
    std::this_thread::sleep_for(std::chrono::milliseconds(1));
  BOOST_TEST(this->HeldBytes() == 0U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::http
