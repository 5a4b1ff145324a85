#include "publication/reader_beacon.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <limits>
#include <random>
#include <string>
#include <tuple>

#include "peer/msgpack_codec.h"
#include "publication/wire_revision.h"

namespace burdockwheel::publication {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ReaderBeaconTest)

BOOST_AUTO_TEST_CASE(ComesBackFromTheWire) {
  const ReaderBeacon beacon{{0, 7}, milliseconds(420), milliseconds(35)};
  const auto decoded = TryDecodeBeacon(EncodeBeacon(beacon));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == beacon));
}

// Hosts of the former version run beside those of this one while they are
// replaced.
BOOST_AUTO_TEST_CASE(ReadsABeaconWithoutTimes) {
  const auto former =
      peer::Pack(std::tuple<std::uint8_t, std::uint64_t>(1, 99));
  const auto decoded = TryDecodeBeacon(former);
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == ReaderBeacon{{0, 99}, {}, {}}));
}

// Revisions beyond 40 bits and eras beyond 24 were once cut on their way.
BOOST_AUTO_TEST_CASE(KeepsRevisionsOfAnySize) {
  constexpr std::uint64_t kMost = std::numeric_limits<std::uint64_t>::max();
  for (const auto& revision :
       {StoreRevision(0, WireRevision::kMaxNumber),
        StoreRevision(WireRevision::kMaxEra, 1),
        StoreRevision(0, 1'796'000'000'000'000), StoreRevision(kMost, kMost)}) {
    const ReaderBeacon beacon{revision, milliseconds(4), milliseconds(3)};
    const auto decoded = TryDecodeBeacon(EncodeBeacon(beacon));
    BOOST_REQUIRE(decoded.has_value());
    BOOST_TEST((*decoded == beacon));
  }
}

// A host that cuts the store's revisions misses changes, so that no other may
// leave the reading to it.
BOOST_AUTO_TEST_CASE(GetsOnWithHostsThatPackRevisions) {
  using Former =
      std::tuple<std::uint8_t, std::uint64_t, std::int64_t, std::int64_t>;
  constexpr std::uint64_t kEra = std::uint64_t{2} << WireRevision::kNumberBits;
  const ReaderBeacon beacon{{2, 7}, milliseconds(4), milliseconds(3)};
  const auto former = peer::TryUnpack<Former>(EncodeBeacon(beacon));
  BOOST_REQUIRE(former.has_value());
  BOOST_TEST((*former == Former(1, kEra + 7, 4, 3)));
  const auto decoded = TryDecodeBeacon(peer::Pack(*former));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_TEST((*decoded == beacon));
  const Former cut(1, kEra + WireRevision::kMaxNumber, 4, 3);
  BOOST_TEST(!TryDecodeBeacon(peer::Pack(cut)).has_value());
}

BOOST_AUTO_TEST_CASE(RefusesMalformedBodies) {
  BOOST_TEST(!TryDecodeBeacon("").has_value());
  BOOST_TEST(!TryDecodeBeacon("x").has_value());
  using Wire =
      std::tuple<std::uint8_t, std::uint64_t, std::int64_t, std::int64_t>;
  BOOST_TEST(!TryDecodeBeacon(peer::Pack(Wire(1, 9, -1, 0))).has_value());
  BOOST_TEST(
      !TryDecodeBeacon(peer::Pack(Wire(1, 9, 0, 3'600'001))).has_value());
  BOOST_TEST(!TryDecodeBeacon(peer::Pack(Wire(2, 9, 0, 0))).has_value());
  const std::string sound =
      EncodeBeacon({{0, 7}, milliseconds(9), milliseconds(5)});
  std::mt19937_64 random(4);
  for (int round = 0; round < 10'000; ++round) {
    std::string bytes = sound;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    static_cast<void>(TryDecodeBeacon(bytes));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
