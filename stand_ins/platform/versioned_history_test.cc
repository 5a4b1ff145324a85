#include "stand_ins/platform/versioned_history.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(VersionedHistoryTest)

BOOST_AUTO_TEST_CASE(AnswersWhatWasTheLatestAtATime) {
  const kernel::Instant start{std::chrono::seconds(100)};
  const std::chrono::seconds second(1);
  VersionedHistory history;
  BOOST_TEST(history.LatestOrNull() == nullptr);
  history.Publish({1, "one", start});
  history.Publish({2, "two", start + 2 * second});
  BOOST_TEST(history.AsOfOrNull(start - second) == nullptr);
  BOOST_TEST(history.AsOfOrNull(start + second)->text == "one");
  BOOST_TEST(history.AsOfOrNull(start + 2 * second)->text == "two");
  BOOST_TEST(history.WithVersionOrNull(1)->text == "one");
  BOOST_TEST(history.WithVersionOrNull(3) == nullptr);
  BOOST_TEST(history.LatestOrNull()->text == "two");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
