#include "configuration/route_table.h"

#include <boost/test/unit_test.hpp>
#include <ostream>
#include <string>

namespace burdockwheel::configuration {

namespace {

model::CallKind Kind(const std::string& method, const std::string& path) {
  model::CallKind kind;
  kind.method = method;
  kind.path_pattern = path;
  return kind;
}

RouteTable Table() {
  model::FleetConfiguration configuration;
  configuration.services.resize(2);
  configuration.services[0].kinds = {Kind("GET", "/slots/{plant}"),
                                     Kind("GET", "/slots/today"),
                                     Kind("GET", "/slots/{plant}/holds/{hold}"),
                                     Kind("POST", "/slots/today/holds")};
  configuration.services[1].kinds = {Kind("GET", "/"), Kind("HEAD", "/h"),
                                     Kind("GET", "/h"),
                                     Kind("DELETE", "/slots/{plant}")};
  return RouteTable(configuration);
}

// Returns "service/kind", or "none".
std::string Find(std::string_view method, std::string_view target) {
  const auto route = Table().Find(method, target);
  if (!route) return "none";
  return std::to_string(route->service_index) + "/" +
         std::to_string(route->kind_index);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RouteTableTest)

BOOST_AUTO_TEST_CASE(MatchesOneSegmentWithAWildcard) {
  BOOST_TEST(Find("GET", "/slots/bergen") == "0/0");
  BOOST_TEST(Find("GET", "/slots/bergen/x") == "none");
  BOOST_TEST(Find("GET", "/slots/") == "none");
  BOOST_TEST(Find("GET", "/slots") == "none");
  BOOST_TEST(Find("GET", "/slots//holds/1") == "none");
  BOOST_TEST(Find("GET", "/slots/bergen/holds/1") == "0/2");
}

BOOST_AUTO_TEST_CASE(PrefersLiteralsAndGoesBackToWildcards) {
  BOOST_TEST(Find("GET", "/slots/today") == "0/1");
  BOOST_TEST(Find("GET", "/slots/today/holds/7") == "0/2");
  BOOST_TEST(Find("POST", "/slots/today/holds") == "0/3");
  BOOST_TEST(Find("DELETE", "/slots/today") == "1/3");
}

BOOST_AUTO_TEST_CASE(PassesOverTheQuery) {
  BOOST_TEST(Find("GET", "/slots/bergen?day=1/2") == "0/0");
  BOOST_TEST(Find("GET", "/?x") == "1/0");
  BOOST_TEST(Find("GET", "/") == "1/0");
  BOOST_TEST(Find("GET", "") == "none");
  BOOST_TEST(Find("GET", "slots/bergen") == "none");
}

BOOST_AUTO_TEST_CASE(RoutesHeadAsGetUnlessItHasARouteOfItsOwn) {
  BOOST_TEST(Find("HEAD", "/slots/bergen") == "0/0");
  BOOST_TEST(Find("HEAD", "/h") == "1/1");
  BOOST_TEST(Find("PUT", "/slots/bergen") == "none");
}

BOOST_AUTO_TEST_CASE(MatchesNoDotSegment) {
  BOOST_TEST(Find("GET", "/slots/..") == "none");
  BOOST_TEST(Find("GET", "/slots/.") == "none");
  BOOST_TEST(Find("GET", "/slots/%2e%2E") == "none");
  BOOST_TEST(Find("GET", "/slots/.%2e") == "none");
  BOOST_TEST(Find("GET", "/slots/...") == "0/0");
  BOOST_TEST(Find("GET", "/slots/.a") == "0/0");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::configuration
