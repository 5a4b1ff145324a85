#include "peer/socket_transport.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <random>
#include <utility>
#include <vector>

#include "http/ip_address.h"
#include "peer/peer_message.h"
#include "peer/stream_link.h"

namespace burdockwheel::peer {

namespace {

constexpr std::chrono::seconds kPatience(20);

// Transports on one event loop.
class TransportFixture {
 public:
  std::unique_ptr<SocketTransport> OpenOn(const std::string& address,
                                          SocketTransport::Hooks hooks) {
    auto opened =
        SocketTransport::Open(this->context, address, std::move(hooks));
    BOOST_REQUIRE(opened.HasValue());
    return std::move(opened).Value();
  }

  // Collects what the transport receives.
  SocketTransport::Hooks Collect() {
    return {[this](MessageBytes message) {
              this->messages.push_back(std::move(message));
            },
            {}};
  }

  static SocketTransport::Hooks Ignore() {
    return {[](const MessageBytes&) {}, {}};
  }

  // Waits until `count` messages are there.
  std::vector<MessageBytes> Take(std::size_t count) {
    const auto give_up = std::chrono::steady_clock::now() + kPatience;
    while (this->messages.size() < count &&
           std::chrono::steady_clock::now() < give_up) {
      this->context.run_for(std::chrono::milliseconds(5));
    }
    return std::exchange(this->messages, {});
  }

  boost::asio::io_context context;
  std::vector<MessageBytes> messages;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(SocketTransportTest, TransportFixture)

BOOST_AUTO_TEST_CASE(CarriesMessagesInOrder) {
  const auto receiver = this->OpenOn("127.0.0.1:0", this->Collect());
  const auto sender = this->OpenOn("127.0.0.1:0", Ignore());
  const std::vector<MessageBytes> sent = {
      "a", "", std::string(kMostMessageBytes, 'x'), "b"};
  for (const auto& message : sent) {
    BOOST_TEST(
        sender->TrySend(receiver->ListenAddress(), Delivery::kStream, message));
  }
  BOOST_TEST((this->Take(sent.size()) == sent));
  BOOST_TEST(sender->LinkCount() == 1U);
}

BOOST_AUTO_TEST_CASE(CarriesDatagramsWithoutAConnection) {
  const auto receiver = this->OpenOn("127.0.0.1:0", this->Collect());
  const auto sender = this->OpenOn("127.0.0.1:0", Ignore());
  const MessageBytes largest(SocketTransport::kMostDatagramBytes, 'x');
  BOOST_TEST(
      sender->TrySend(receiver->ListenAddress(), Delivery::kDatagram, largest));
  const auto received = this->Take(1);
  BOOST_REQUIRE_EQUAL(received.size(), 1U);
  BOOST_TEST((received.front() == largest));
  BOOST_TEST(sender->LinkCount() == 0U);
  // What fits no datagram goes as a stream.
  BOOST_TEST(sender->TrySend(receiver->ListenAddress(), Delivery::kDatagram,
                             largest + "x"));
  BOOST_TEST(this->Take(1).front().size() == largest.size() + 1);
}

BOOST_AUTO_TEST_CASE(ReconnectsToAPeerThatWasReplaced) {
  const auto sender = this->OpenOn("127.0.0.1:0", Ignore());
  auto receiver = this->OpenOn("127.0.0.1:0", this->Collect());
  const std::string address = receiver->ListenAddress();
  BOOST_TEST(sender->TrySend(address, Delivery::kStream, "before"));
  BOOST_TEST(this->Take(1).size() == 1U);
  receiver.reset();
  receiver = this->OpenOn(address, this->Collect());
  // Messages that meet the broken connection are lost; a later one arrives.
  std::vector<MessageBytes> received;
  const auto give_up = std::chrono::steady_clock::now() + kPatience;
  while (received.empty() && std::chrono::steady_clock::now() < give_up) {
    BOOST_TEST(sender->TrySend(address, Delivery::kStream, "after"));
    this->context.run_for(std::chrono::milliseconds(20));
    received = this->Take(0);
  }
  BOOST_TEST(!received.empty());
}

BOOST_AUTO_TEST_CASE(BoundsWhatWaitsForAVanishedPeer) {
  auto vanished = this->OpenOn("127.0.0.1:0", Ignore());
  const std::string address = vanished->ListenAddress();
  vanished.reset();
  const auto sender = this->OpenOn("127.0.0.1:0", Ignore());
  const MessageBytes message(std::size_t{1} << 20U, 'x');
  std::size_t accepted = 0;
  while (accepted < 100 && sender->TrySend(address, Delivery::kStream, message))
    ++accepted;
  BOOST_TEST(accepted <= StreamLink::kMostQueuedBytes / message.size());
}

BOOST_AUTO_TEST_CASE(DropsMessagesToALinkThatATestCuts) {
  const auto receiver = this->OpenOn("127.0.0.1:0", this->Collect());
  const std::string cut = receiver->ListenAddress();
  const auto sender = this->OpenOn(
      "127.0.0.1:0",
      {[](const MessageBytes&) {},
       [&cut](const std::string& address) { return address == cut; }});
  BOOST_TEST(!sender->TrySend(cut, Delivery::kStream, "lost"));
  BOOST_TEST(!sender->TrySend(cut, Delivery::kDatagram, "lost"));
  BOOST_TEST(sender->LinkCount() == 0U);
}

BOOST_AUTO_TEST_CASE(RefusesBadAddressesAndSizes) {
  const auto transport = this->OpenOn("127.0.0.1:0", Ignore());
  BOOST_TEST(!transport->TrySend("no address", Delivery::kStream, "a"));
  BOOST_TEST(!transport->TrySend("no address", Delivery::kDatagram, "a"));
  BOOST_TEST(!transport->TrySend(transport->ListenAddress(), Delivery::kStream,
                                 std::string(kMostMessageBytes + 1, 'x')));
  const auto second = SocketTransport::Open(
      this->context, transport->ListenAddress(), Ignore());
  BOOST_REQUIRE(!second.HasValue());
  BOOST_TEST((second.Failure() == TransportFailure::kAddressInUse));
}

BOOST_AUTO_TEST_CASE(EndsAStreamThatBreaksTheFraming) {
  const auto receiver = this->OpenOn("127.0.0.1:0", this->Collect());
  boost::asio::ip::tcp::socket stranger(this->context);
  stranger.connect(*http::ParseEndpointOrNull(receiver->ListenAddress()));
  boost::system::error_code error;
  stranger.write_some(boost::asio::buffer("\xff\xff\xff\xff", 4), error);
  this->context.run_for(std::chrono::milliseconds(50));
  char byte = 0;
  stranger.read_some(boost::asio::buffer(&byte, 1), error);
  BOOST_TEST((error == boost::asio::error::eof ||
              error == boost::asio::error::connection_reset));
  BOOST_TEST(this->messages.empty());
}

// A stream or a datagram that has arrived may still wait for its handler when
// the transport ends.
BOOST_AUTO_TEST_CASE(EndsWhileMessagesWait) {
  std::size_t received = 0;
  auto receiver = this->OpenOn(
      "127.0.0.1:0", {[&received](const MessageBytes&) { ++received; }, {}});
  const auto sender = this->OpenOn("127.0.0.1:0", Ignore());
  constexpr int kMessages = 4;
  boost::asio::ip::tcp::socket stranger(this->context);
  boost::asio::ip::tcp::socket other_stranger(this->context);
  const auto endpoint = *http::ParseEndpointOrNull(receiver->ListenAddress());
  stranger.connect(endpoint);
  other_stranger.connect(endpoint);
  for (int message = 0; message < kMessages; ++message) {
    BOOST_TEST(
        sender->TrySend(receiver->ListenAddress(), Delivery::kDatagram, "a"));
  }
  while (received == 0) this->context.run_one();
  const auto before_the_end = received;
  receiver.reset();
  this->context.run_for(std::chrono::milliseconds(20));
  BOOST_TEST(received == before_the_end);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::peer
