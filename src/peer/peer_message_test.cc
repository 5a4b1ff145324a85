#include "peer/peer_message.h"

#include <boost/test/unit_test.hpp>
#include <random>

namespace burdockwheel::peer {

namespace {

PeerDecodeFailure FailureOf(std::string_view bytes) {
  const auto decoded = DecodePeerMessage(bytes);
  BOOST_REQUIRE(!decoded.HasValue());
  return decoded.Failure();
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PeerMessageTest)

BOOST_AUTO_TEST_CASE(DecodesEachKind) {
  for (int kind = 1; kind <= kMessageKindCount; ++kind) {
    const PeerMessage message{
        static_cast<MessageKind>(kind), {"h"}, {~0ULL}, std::string("\0b", 2)};
    const auto decoded = DecodePeerMessage(EncodePeerMessage(message));
    BOOST_REQUIRE(decoded.HasValue());
    BOOST_TEST((decoded.Value() == message));
  }
}

BOOST_AUTO_TEST_CASE(NamesEachFailure) {
  const PeerMessage message{MessageKind::kHeartbeat, {"h"}, {1}, "b"};
  BOOST_TEST((FailureOf("") == PeerDecodeFailure::kMalformed));
  BOOST_TEST((FailureOf(EncodePeerMessage(message) + "x") ==
              PeerDecodeFailure::kMalformed));
  std::string other_version = EncodePeerMessage(message);
  other_version[1] = 2;
  BOOST_TEST(
      (FailureOf(other_version) == PeerDecodeFailure::kUnsupportedVersion));
  std::string other_kind = EncodePeerMessage(message);
  other_kind[2] = kMessageKindCount + 1;
  BOOST_TEST((FailureOf(other_kind) == PeerDecodeFailure::kUnknownKind));
  BOOST_TEST(
      (FailureOf(EncodePeerMessage({MessageKind::kHeartbeat, {""}, {1}, ""})) ==
       PeerDecodeFailure::kFieldOutOfRange));
  BOOST_TEST((FailureOf(std::string(kMostMessageBytes + 1, 'x')) ==
              PeerDecodeFailure::kTooLarge));
}

BOOST_AUTO_TEST_CASE(RefusesASizeThatTheMessageDoesNotHave) {
  // An array of 2^32 - 1 elements, and a string of 2^32 - 1 bytes.
  BOOST_TEST(
      (FailureOf("\xdd\xff\xff\xff\xff") == PeerDecodeFailure::kMalformed));
  BOOST_TEST((FailureOf("\x95\x01\x03\xdb\xff\xff\xff\xff") ==
              PeerDecodeFailure::kMalformed));
}

BOOST_AUTO_TEST_CASE(SurvivesMutatedBytes) {
  std::mt19937_64 random(20260402);
  const std::string encoded = EncodePeerMessage(
      {MessageKind::kLedgerPart, {"host-1"}, {12345}, "some body"});
  for (int trial = 0; trial < 50000; ++trial) {
    std::string mutated = encoded;
    for (std::uint64_t flips = 1 + random() % 4; flips > 0; --flips)
      mutated[random() % mutated.size()] = static_cast<char>(random());
    const auto decoded = DecodePeerMessage(mutated);
    if (!decoded.HasValue()) continue;
    BOOST_REQUIRE(decoded.Value().body.size() <= mutated.size());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::peer
