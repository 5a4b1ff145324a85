#include "publication/reader_beacon.h"

#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <random>
#include <string>
#include <tuple>

#include "peer/msgpack_codec.h"

namespace burdockwheel::publication {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(ReaderBeaconTest)

BOOST_AUTO_TEST_CASE(ComesBackFromTheWire) {
  const ReaderBeacon beacon{7, milliseconds(420), milliseconds(35)};
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
  BOOST_TEST((*decoded == ReaderBeacon{99, {}, {}}));
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
  const std::string sound = EncodeBeacon({7, milliseconds(9), milliseconds(5)});
  std::mt19937_64 random(4);
  for (int round = 0; round < 10'000; ++round) {
    std::string bytes = sound;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    static_cast<void>(TryDecodeBeacon(bytes));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
