#include "peer/nng_transport.h"

#include <boost/test/unit_test.hpp>
#include <condition_variable>
#include <vector>

#include "peer/peer_message.h"
#include "peer/push_link.h"

namespace burdockwheel::peer {

namespace {

constexpr std::chrono::seconds kPatience(20);

// Collects what a transport receives.
class Inbox {
 public:
  NngTransport::Hooks Hooks() {
    return {[this](MessageBytes message) {
              const std::lock_guard lock(this->mutex);
              this->messages.push_back(std::move(message));
              this->arrived.notify_all();
            },
            {}};
  }

  // Waits until `count` messages are there.
  std::vector<MessageBytes> Take(std::size_t count) {
    std::unique_lock lock(this->mutex);
    this->arrived.wait_for(lock, kPatience, [this, count] {
      return this->messages.size() >= count;
    });
    return std::exchange(this->messages, {});
  }

 private:
  std::mutex mutex;
  std::condition_variable arrived;
  std::vector<MessageBytes> messages;
};

std::unique_ptr<NngTransport> OpenOn(const std::string& address,
                                     NngTransport::Hooks hooks) {
  auto opened = NngTransport::Open(address, std::move(hooks));
  BOOST_REQUIRE(opened.HasValue());
  return std::move(opened).Value();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(NngTransportTest)

BOOST_AUTO_TEST_CASE(CarriesMessagesInOrder) {
  Inbox inbox;
  Inbox unused;
  const auto receiver = OpenOn("127.0.0.1:0", inbox.Hooks());
  const auto sender = OpenOn("127.0.0.1:0", unused.Hooks());
  const std::vector<MessageBytes> sent = {
      "a", "", std::string(kMostMessageBytes, 'x'), "b"};
  for (const auto& message : sent)
    BOOST_TEST(sender->TrySend(receiver->ListenAddress(), message));
  BOOST_TEST((inbox.Take(sent.size()) == sent));
  BOOST_TEST(sender->LinkCount() == 1U);
}

BOOST_AUTO_TEST_CASE(ReconnectsToAPeerThatWasReplaced) {
  Inbox inbox;
  Inbox unused;
  const auto sender = OpenOn("127.0.0.1:0", unused.Hooks());
  auto receiver = OpenOn("127.0.0.1:0", inbox.Hooks());
  const std::string address = receiver->ListenAddress();
  BOOST_TEST(sender->TrySend(address, "before"));
  BOOST_TEST(inbox.Take(1).size() == 1U);
  receiver.reset();
  receiver = OpenOn(address, inbox.Hooks());
  // Messages that meet the broken connection are lost; a later one arrives.
  std::vector<MessageBytes> received;
  const auto give_up = std::chrono::steady_clock::now() + kPatience;
  while (received.empty() && std::chrono::steady_clock::now() < give_up) {
    BOOST_TEST(sender->TrySend(address, "after"));
    std::this_thread::sleep_for(std::chrono::milliseconds(20));
    received = inbox.Take(0);
  }
  BOOST_TEST(!received.empty());
}

BOOST_AUTO_TEST_CASE(BoundsWhatWaitsForAVanishedPeer) {
  Inbox unused;
  auto vanished = OpenOn("127.0.0.1:0", unused.Hooks());
  const std::string address = vanished->ListenAddress();
  vanished.reset();
  const auto sender = OpenOn("127.0.0.1:0", unused.Hooks());
  const MessageBytes message(std::size_t{1} << 20U, 'x');
  std::size_t accepted = 0;
  while (accepted < 100 && sender->TrySend(address, message)) ++accepted;
  // One is being sent; the queue holds the rest.
  BOOST_TEST(accepted <= PushLink::kMostQueuedBytes / message.size() + 1);
}

BOOST_AUTO_TEST_CASE(DropsMessagesToALinkThatATestCuts) {
  Inbox inbox;
  const auto receiver = OpenOn("127.0.0.1:0", inbox.Hooks());
  const std::string cut = receiver->ListenAddress();
  const auto sender =
      OpenOn("127.0.0.1:0",
             {[](const MessageBytes&) {},
              [&cut](const std::string& address) { return address == cut; }});
  BOOST_TEST(!sender->TrySend(cut, "lost"));
  BOOST_TEST(sender->LinkCount() == 0U);
}

BOOST_AUTO_TEST_CASE(RefusesBadAddressesAndSizes) {
  Inbox inbox;
  const auto transport = OpenOn("127.0.0.1:0", inbox.Hooks());
  BOOST_TEST(!transport->TrySend("no address", "a"));
  BOOST_TEST(!transport->TrySend(transport->ListenAddress(),
                                 std::string(kMostMessageBytes + 1, 'x')));
  const auto second =
      NngTransport::Open(transport->ListenAddress(), inbox.Hooks());
  BOOST_REQUIRE(!second.HasValue());
  BOOST_TEST((second.Failure() == TransportFailure::kAddressInUse));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::peer
