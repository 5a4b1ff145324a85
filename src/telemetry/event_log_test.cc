#include "telemetry/event_log.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::telemetry {

BOOST_AUTO_TEST_SUITE(EventLogTest)

BOOST_AUTO_TEST_CASE(QuotesValuesThatWouldSplitALine) {
  BOOST_TEST(FormatLogFields({{"cause", "fast-failures"}, {"count", 3}}) ==
             " cause=fast-failures count=3");
  BOOST_TEST(FormatLogFields({{"text", "a b\n\"c\""}}) ==
             " text=\"a b\\x0a\\\"c\\\"\"");
  BOOST_TEST(FormatLogFields({{"empty", ""}}) == " empty=\"\"");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::telemetry
