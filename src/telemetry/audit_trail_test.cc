#include "telemetry/audit_trail.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::telemetry {

BOOST_AUTO_TEST_SUITE(AuditTrailTest)

BOOST_AUTO_TEST_CASE(KeepsTheNewestEntriesInOrder) {
  AuditTrail trail(2);
  for (const auto* subject : {"worker a", "worker b", "worker c"}) {
    AuditEntry entry;
    entry.subject = subject;
    entry.to = "ejected";
    trail.Record(entry);
  }
  const auto entries = trail.Entries("");
  BOOST_REQUIRE(entries.size() == 2U);
  BOOST_TEST(entries[0].subject == "worker b");
  BOOST_TEST(entries[1].sequence == 3U);
  BOOST_TEST(trail.Entries("worker c").size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::telemetry
