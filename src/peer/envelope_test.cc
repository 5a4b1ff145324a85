#include "peer/envelope.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace burdockwheel::peer {

namespace {

constexpr char kSenderAddress[] = "127.0.0.1:1";
constexpr char kReceiverAddress[] = "127.0.0.1:2";

EnvelopeKey KeyOf(std::uint32_t id) {
  EnvelopeKey key;
  key.id = id;
  key.secret.fill(static_cast<unsigned char>(id));
  return key;
}

PeerMessage SampleMessage() {
  return {MessageKind::kForwardCall, {"host-1"}, {7}, "body"};
}

EnvelopeFailure FailureOf(Envelope& envelope, std::string_view sealed) {
  const auto opened = envelope.Open(sealed);
  BOOST_REQUIRE(!opened.HasValue());
  return opened.Failure();
}

struct Fixture {
  Envelope sender{{KeyOf(1), {}}, kSenderAddress};
  Envelope receiver{{KeyOf(1), {}}, kReceiverAddress};
  std::string sealed = sender.Seal(SampleMessage(), kReceiverAddress);
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EnvelopeTest, Fixture)

BOOST_AUTO_TEST_CASE(OpensWhatAPeerSealed) {
  const auto opened = receiver.Open(sealed);
  BOOST_REQUIRE(opened.HasValue());
  BOOST_TEST((opened.Value() == SampleMessage()));
  BOOST_TEST(sealed.find("host-1") == std::string::npos);
}

BOOST_AUTO_TEST_CASE(RefusesAMessageOfAnotherKey) {
  EnvelopeKey other = KeyOf(1);
  other.secret[0] ^= 1U;
  Envelope stranger({other, {}}, kSenderAddress);
  BOOST_TEST(
      (FailureOf(receiver, stranger.Seal(SampleMessage(), kReceiverAddress)) ==
       EnvelopeFailure::kNotAuthentic));
}

BOOST_AUTO_TEST_CASE(RefusesAMessageThatWasForAnotherHost) {
  Envelope third({KeyOf(1), {}}, "127.0.0.1:3");
  BOOST_TEST((FailureOf(third, sealed) == EnvelopeFailure::kNotAuthentic));
}

BOOST_AUTO_TEST_CASE(RefusesARepeatedMessage) {
  BOOST_TEST(receiver.Open(sealed).HasValue());
  BOOST_TEST((FailureOf(receiver, sealed) == EnvelopeFailure::kReplayed));
}

BOOST_AUTO_TEST_CASE(TakesMessagesOutOfOrderButNotOlderThanTheWindow) {
  const std::string late = sender.Seal(SampleMessage(), kReceiverAddress);
  BOOST_TEST(
      receiver.Open(sender.Seal(SampleMessage(), kReceiverAddress)).HasValue());
  BOOST_TEST(receiver.Open(late).HasValue());
  for (std::size_t count = 0; count < ReplayWindow::kSize; ++count)
    sender.Seal(SampleMessage(), "127.0.0.1:4");
  BOOST_TEST(
      receiver.Open(sender.Seal(SampleMessage(), kReceiverAddress)).HasValue());
  BOOST_TEST((FailureOf(receiver, sealed) == EnvelopeFailure::kReplayed));
}

BOOST_AUTO_TEST_CASE(TakesBothKeysDuringARotation) {
  Envelope rotated({KeyOf(2), KeyOf(1)}, kReceiverAddress);
  BOOST_TEST(rotated.Open(sealed).HasValue());
  Envelope newer({KeyOf(2), {}}, kSenderAddress);
  const PeerMessage message{MessageKind::kHeartbeat, {"host-2"}, {1}, ""};
  BOOST_TEST(rotated.Open(newer.Seal(message, kReceiverAddress)).HasValue());
  BOOST_TEST((FailureOf(receiver, newer.Seal(message, kReceiverAddress)) ==
              EnvelopeFailure::kUnknownKey));
}

BOOST_AUTO_TEST_CASE(RefusesSizesOutOfBounds) {
  BOOST_TEST((FailureOf(receiver, "") == EnvelopeFailure::kTooShort));
  BOOST_TEST((FailureOf(receiver, std::string(kMostMessageBytes + 1, '\1')) ==
              EnvelopeFailure::kTooLarge));
}

BOOST_AUTO_TEST_CASE(RefusesMutatedBytes) {
  std::mt19937_64 random(20260401);
  for (int trial = 0; trial < 20000; ++trial) {
    std::string mutated = sealed;
    char& changed = mutated[random() % mutated.size()];
    changed = static_cast<char>(changed ^ (1 + random() % 127));
    if (random() % 4 == 0) mutated.resize(random() % mutated.size());
    BOOST_REQUIRE(!receiver.Open(mutated).HasValue());
  }
  BOOST_TEST(receiver.Open(sealed).HasValue());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::peer
