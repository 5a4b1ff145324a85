#include "stand_ins/platform/store_contents.h"

#include <boost/test/unit_test.hpp>

#include "stand_ins/platform/store_query.h"

namespace burdockwheel::stand_ins {

BOOST_AUTO_TEST_SUITE(StoreContentsTest)

BOOST_AUTO_TEST_CASE(TellsChangesInTheirOrder) {
  StoreContents contents;
  const auto start = contents.Revision();
  contents.Put("a/1", "one");
  contents.Put("b/1", "other");
  contents.Put("a/1", "two");
  contents.Remove("a/1");
  const auto changes = contents.ChangesAfter("a/", start);
  BOOST_REQUIRE(changes.has_value());
  BOOST_REQUIRE_EQUAL(changes->size(), 3U);
  BOOST_TEST((*changes)[0].item.value == "one");
  BOOST_TEST((*changes)[1].item.value == "two");
  BOOST_TEST((*changes)[2].is_removal);
  BOOST_TEST((*changes)[2].item.revision == start + 4);
  BOOST_TEST(contents.FindOrNull("a/1") == nullptr);
}

BOOST_AUTO_TEST_CASE(ForgetsTheHistoryWhenItIsCompacted) {
  StoreContents contents;
  const auto start = contents.Revision();
  contents.Put("a", "one");
  contents.Compact();
  BOOST_TEST(!contents.ChangesAfter("", start).has_value());
  BOOST_TEST(contents.ChangesAfter("", contents.Revision())->empty());
  BOOST_TEST(contents.FindOrNull("a")->value == "one");
}

BOOST_AUTO_TEST_CASE(ListsAPageAfterAKey) {
  StoreContents contents;
  for (const char* key : {"s/1", "s/2", "s/3", "t/1"}) contents.Put(key, key);
  const auto page = contents.Range("s/", "s/1", 1);
  BOOST_REQUIRE_EQUAL(page.size(), 1U);
  BOOST_TEST(page[0].key == "s/2");
  BOOST_TEST(contents.Range("", "", 10).size() == 4U);
}

BOOST_AUTO_TEST_CASE(ReadsTheValuesOfAQuery) {
  BOOST_TEST(*QueryValueOrNull("/kv-key?key=a%2Fb&x=1", "key") == "a/b");
  BOOST_TEST(QueryValueOrNull("/kv-range?prefix=&x=1", "prefix")->empty());
  BOOST_TEST(*QueryNumberOrNull("/w?after=17", "after") == 17U);
  BOOST_TEST(!QueryNumberOrNull("/w?after=1x", "after").has_value());
  BOOST_TEST(!QueryNumberOrNull("/w", "after").has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
