#include "publication/evacuation_list.h"

#include <boost/test/unit_test.hpp>

namespace burdockwheel::publication {

namespace {

const model::FailureDomain kFirst{"fd-1"};
const model::FailureDomain kSecond{"fd-2"};

PublishedItem Evacuation(const model::FailureDomain& domain,
                         std::uint64_t revision) {
  return {"evacuation of " + domain.value, revision,
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
  list.ObserveGone("evacuation of fd-1", 10);
  const std::set<model::FailureDomain> one = {kSecond};
  BOOST_TEST((list.Domains() == one));
  const std::vector<EvacuationChange> expected = {
      {kFirst, true, 7}, {kSecond, true, 8}, {kFirst, false, 10}};
  BOOST_TEST((list.TakeChanges() == expected));
  BOOST_TEST(list.TakeChanges().empty());
}

BOOST_AUTO_TEST_CASE(PassesOverOtherItems) {
  EvacuationList list;
  list.Observe({"servers/w-1", 3, PublishedWorker()});
  list.Observe({"op/config", 4, PublishedConfiguration()});
  list.Observe({"op/evacuate/", 5, UnreadableItem{"no-zone"}});
  list.ObserveGone("servers/w-1", 6);
  BOOST_TEST(list.Domains().empty());
  BOOST_TEST(list.TakeChanges().empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::publication
