#include "publication/evacuation_list.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::publication {

namespace {

constexpr kernel::Instant kNow{std::chrono::hours(1)};
const model::FailureDomain kFirst{"fd-1"};
const model::FailureDomain kSecond{"fd-2"};

PublishedItem Evacuation(const model::FailureDomain& domain,
                         std::uint64_t number) {
  return {"evacuation of " + domain.value,
          {0, number},
          PublishedEvacuation{domain}};
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EvacuationListTest)

BOOST_AUTO_TEST_CASE(HoldsFromTheItemToItsRemoval) {
  EvacuationList list;
  list.Observe(Evacuation(kFirst, 7));
  list.Observe(Evacuation(kSecond, 8));
  // The operators write one of them once more.
  list.Observe(Evacuation(kFirst, 9));
  const std::set<model::FailureDomain> both = {kFirst, kSecond};
  BOOST_TEST((list.Domains() == both));
  list.ObserveGone(kNow, "evacuation of fd-1", {0, 10});
  const std::set<model::FailureDomain> one = {kSecond};
  BOOST_TEST((list.Domains() == one));
  const std::vector<EvacuationChange> expected = {{kFirst, true, {0, 7}},
                                                  {kSecond, true, {0, 8}},
                                                  {kFirst, false, {0, 10}}};
  BOOST_TEST((list.TakeChanges() == expected));
  BOOST_TEST(list.TakeChanges().empty());
}

BOOST_AUTO_TEST_CASE(PassesOverOtherItems) {
  EvacuationList list;
  list.Observe({"servers/w-1", {0, 3}, PublishedWorker()});
  list.Observe({"configuration", {0, 4}, PublishedConfiguration()});
  list.Observe({"evacuation of nothing", {0, 5}, UnreadableItem{"no-zone"}});
  list.ObserveGone(kNow, "servers/w-1", {0, 6});
  BOOST_TEST(list.Domains().empty());
  BOOST_TEST(list.TakeChanges().empty());
}

// Guards against calls to an evacuated domain while the platform, back from an
// older copy, lacks the evacuation.
BOOST_AUTO_TEST_CASE(HoldsWhatARestoredPlatformLacksUntilItIsWrittenAgain) {
  for (const bool is_written_again : {false, true}) {
    EvacuationList list;
    list.Observe(Evacuation(kFirst, 7));
    list.NoteRestored(kNow);
    list.ObserveGone(kNow, "evacuation of fd-1", {0, 8});
    BOOST_TEST(list.Domains().size() == 1U);
    if (is_written_again) list.Observe(Evacuation(kFirst, 9));
    const auto end = kNow + EvacuationList::kRestoreGrace;
    BOOST_TEST(
        (list.NextWake() == (is_written_again ? std::optional<kernel::Instant>()
                                              : std::optional(end))));
    list.Advance(end);
    BOOST_TEST(list.Domains().size() == (is_written_again ? 1U : 0U));
    // A removal after the grace counts at once.
    list.ObserveGone(end, "evacuation of fd-1", {0, 10});
    BOOST_TEST(list.Domains().empty());
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
