#include "publication/watch_schedule.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <cstdint>
#include <vector>

namespace burdockwheel::publication {

using std::chrono::milliseconds;

namespace {

const kernel::Instant kStart{std::chrono::hours(1)};
constexpr milliseconds kMaxWait{1800};

}  // namespace

BOOST_AUTO_TEST_SUITE(WatchScheduleTest)

BOOST_AUTO_TEST_CASE(AHostThatReadsAloneIsAnsweredEachSpacing) {
  WatchSchedule schedule({1}, kMaxWait);
  BOOST_TEST(
      (schedule.NextWait(kStart, false) == WatchSchedule::kAnswerSpacing));
}

// Their watches are not set off against each other by anything else.
BOOST_AUTO_TEST_CASE(ReadersThatWereAnsweredTogetherAreAnsweredInTurn) {
  for (const int count : {2, 3, 7}) {
    std::vector<milliseconds> waits;
    for (int self = 1; self <= count; ++self) {
      WatchSchedule schedule({static_cast<std::uint64_t>(self)}, kMaxWait);
      for (int other = 1; other <= count; ++other) {
        if (other == self) continue;
        schedule.NoteReader(kStart, {static_cast<std::uint64_t>(other)},
                            kStart);
      }
      waits.push_back(schedule.NextWait(kStart, false));
      BOOST_TEST((schedule.NextWait(kStart, true) == waits.back()));
    }
    std::ranges::sort(waits);
    milliseconds last{0};
    for (const auto wait : waits) {
      BOOST_TEST((wait - last <= WatchSchedule::kAnswerSpacing));
      BOOST_TEST((wait > last));
      BOOST_TEST((wait <= kMaxWait));
      last = wait;
    }
  }
}

BOOST_AUTO_TEST_CASE(ForgetsAReaderThatIsNoLongerHeard) {
  WatchSchedule schedule({2}, kMaxWait);
  schedule.NoteReader(kStart, {1}, kStart);
  const auto later = kStart + WatchSchedule::kReaderPatience + milliseconds(1);
  BOOST_TEST(
      (schedule.NextWait(later, false) == WatchSchedule::kAnswerSpacing));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
