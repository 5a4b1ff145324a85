#include "membership/heartbeat.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace burdockwheel::membership {

namespace {

MemberEntry MakeEntry(const std::string& host, std::uint64_t incarnation) {
  MemberEntry entry;
  entry.host = {host};
  entry.incarnation = {incarnation};
  entry.revision = 3;
  entry.address = "127.0.0.1:7000";
  entry.failure_domain = {"bergen-a"};
  return entry;
}

Heartbeat MakeHeartbeat() {
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kRelayedProbe;
  heartbeat.probe = 9;
  heartbeat.target = {77};
  heartbeat.target_address = "127.0.0.1:7001";
  heartbeat.requester_address = "127.0.0.1:7002";
  heartbeat.sender = MakeEntry("entry-1", 1);
  heartbeat.stamp = {12, 0xfedcba9876543210U};
  heartbeat.entries = {MakeEntry("entry-2", 2)};
  heartbeat.entries[0].state = MemberState::kGone;
  heartbeat.entries[0].gone_age = std::chrono::seconds(61);
  heartbeat.entries[0].ledger_holders = {{"entry-3"}};
  heartbeat.hints = {{5, {"truck-booking"}, {"127.0.0.1:8000"}, 2}};
  return heartbeat;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(HeartbeatTest)

BOOST_AUTO_TEST_CASE(DecodesWhatItEncodes) {
  const auto decoded = DecodeHeartbeat(EncodeHeartbeat(MakeHeartbeat()));
  BOOST_REQUIRE(decoded.HasValue());
  BOOST_TEST((decoded.Value() == MakeHeartbeat()));
}

BOOST_AUTO_TEST_CASE(RejectsTruncatedAndExtendedBodies) {
  const std::string encoded = EncodeHeartbeat(MakeHeartbeat());
  for (std::size_t size = 0; size < encoded.size(); ++size)
    BOOST_TEST(!DecodeHeartbeat(encoded.substr(0, size)).HasValue());
  BOOST_TEST(!DecodeHeartbeat(encoded + "x").HasValue());
  for (std::size_t offset = 0; offset < encoded.size(); ++offset) {
    std::string damaged = encoded;
    damaged[offset] = static_cast<char>(damaged[offset] ^ 0xff);
    // The damaged body may still decode; if not, DecodeHeartbeat must return a
    // failure.
    static_cast<void>(DecodeHeartbeat(damaged));
  }
}

BOOST_AUTO_TEST_CASE(RejectsFieldsOutOfRangeAndOversizedBodies) {
  const auto failure_of = [](const Heartbeat& heartbeat) {
    const auto decoded = DecodeHeartbeat(EncodeHeartbeat(heartbeat));
    BOOST_REQUIRE(!decoded.HasValue());
    return decoded.Failure();
  };
  auto heartbeat = MakeHeartbeat();
  heartbeat.sender.host = {""};
  BOOST_TEST((failure_of(heartbeat) == HeartbeatFailure::kFieldOutOfRange));
  heartbeat = MakeHeartbeat();
  heartbeat.sender.incarnation = {0};
  BOOST_TEST((failure_of(heartbeat) == HeartbeatFailure::kFieldOutOfRange));
  heartbeat = MakeHeartbeat();
  heartbeat.entries[0].ledger_holders.resize(3, {"x"});
  BOOST_TEST((failure_of(heartbeat) == HeartbeatFailure::kFieldOutOfRange));
  heartbeat = MakeHeartbeat();
  heartbeat.hints[0].crashes = 0;
  BOOST_TEST((failure_of(heartbeat) == HeartbeatFailure::kFieldOutOfRange));
  heartbeat = MakeHeartbeat();
  heartbeat.entries.resize(20, MakeEntry("entry-4", 4));
  BOOST_TEST((failure_of(heartbeat) == HeartbeatFailure::kTooLarge));
}

BOOST_AUTO_TEST_CASE(AcceptsTheLongestSenderNames) {
  Heartbeat heartbeat;
  heartbeat.probe = 0xffffffffU;
  heartbeat.target = {~std::uint64_t{0}};
  heartbeat.target_address = std::string(kMaxAddressBytes, '1');
  heartbeat.sender = MakeEntry(std::string(kMaxNameBytes, 'h'), ~0ULL);
  heartbeat.sender.revision = ~0ULL;
  heartbeat.sender.address = std::string(kMaxAddressBytes, '1');
  heartbeat.sender.failure_domain = {std::string(kMaxNameBytes, 'd')};
  heartbeat.sender.ledger_holders.resize(kMaxLedgerHolders,
                                         {std::string(kMaxNameBytes, 'h')});
  heartbeat.stamp = {~0ULL, ~0ULL};
  BOOST_TEST(DecodeHeartbeat(EncodeHeartbeat(heartbeat)).HasValue());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::membership
