#include "host/caller_bounds.h"

#include <boost/test/unit_test.hpp>

#include "http/caller_session.h"

namespace burdockwheel::host {

BOOST_AUTO_TEST_SUITE(CallerBoundsTest)

BOOST_AUTO_TEST_CASE(GrantsWhatTheHostCanHold) {
  model::CallerLimits callers;
  callers.most_header_bytes = 20'000;
  callers.most_body_bytes = 5000;
  callers.header_timeout = std::chrono::milliseconds(3000);
  callers.idle_timeout = std::chrono::hours(1);
  const auto limits = SessionLimitsOf(callers, 5000);
  BOOST_TEST(limits.read.most_header_bytes == 20'000U);
  BOOST_TEST(limits.read.most_body_bytes == 5000U);
  BOOST_TEST((limits.header_timeout == callers.header_timeout));
  BOOST_TEST((limits.idle_timeout == callers.idle_timeout));
  BOOST_TEST(LoweredLimits(callers, 5000).empty());
}

// Clients rely on the limits, so that one which a host does not grant in full
// must not be lowered in silence.
BOOST_AUTO_TEST_CASE(NamesWhatItDoesNotGrant) {
  model::CallerLimits callers;
  callers.most_body_bytes = 5001;
  callers.most_header_bytes = 65'536;
  BOOST_TEST(SessionLimitsOf(callers, 5000).read.most_body_bytes == 5000U);
  const std::vector<configuration::AdjustedValue> expected = {
      {"caller_limits body_bytes", "5001", "5000"},
      {"caller_limits header_bytes", "65536", "65535 for each field"}};
  BOOST_TEST((LoweredLimits(callers, 5000) == expected));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::host
