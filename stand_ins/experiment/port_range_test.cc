#include "stand_ins/experiment/port_range.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(PortRangeTest)

BOOST_AUTO_TEST_CASE(GivesNoRangeTwiceWhileItIsHeld) {
  auto first = PortRange::TakeOrNull();
  BOOST_TEST_REQUIRE(first.has_value());
  const auto second = PortRange::TakeOrNull();
  BOOST_TEST_REQUIRE(second.has_value());
  BOOST_TEST(second->FirstPort() >= first->FirstPort() + PortRange::kPorts);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
