#include "load/relay_rotation.h"

#include <boost/test/unit_test.hpp>
#include <set>
#include <string>

namespace burdockwheel::load {

namespace {

std::vector<RelayCandidate> HostsOfTwoDomains() {
  return {{{"fd-1"}, "a"}, {{"fd-2"}, "b"}, {{"fd-1"}, "c"}, {{"fd-1"}, "d"}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RelayRotationTest)

// Guards against a message that is lost with the one host that it was sent to.
BOOST_AUTO_TEST_CASE(SeveralDifferentHostsOfEachDomainAreTaken) {
  RelayRotation rotation(5);
  const auto addresses = rotation.Take(HostsOfTwoDomains(), 2);
  BOOST_REQUIRE(addresses.size() == 3U);
  BOOST_TEST(addresses[0] != addresses[1]);
  BOOST_TEST(addresses[2] == "b");
}

BOOST_AUTO_TEST_CASE(OneHostOfEachDomainIsTakenAndAllTakeTurns) {
  RelayRotation rotation(5);
  std::set<std::string> taken;
  for (int turn = 0; turn < 3; ++turn) {
    const auto addresses = rotation.Take(HostsOfTwoDomains());
    BOOST_TEST(addresses.size() == 2U);
    BOOST_TEST(addresses.back() == "b");
    taken.insert(addresses.front());
  }
  BOOST_TEST(taken.size() == 3U);
}

BOOST_AUTO_TEST_CASE(WithoutOtherDomainsNobodyIsTaken) {
  RelayRotation rotation(0);
  BOOST_TEST(rotation.Take({}).empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::load
