#include "configuration/bundle.h"

#include <boost/test/unit_test.hpp>
#include <string>

namespace burdockwheel::configuration {

namespace {

std::string ServiceText(const std::string& name, const std::string& path) {
  return "{\"service\": \"" + name +
         "\",\n \"calls\": [{\"name\": \"read\", \"method\": \"GET\",\n"
         "  \"path\": \"" +
         path + "\", \"idempotent\": true}]}";
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BundleTest)

BOOST_AUTO_TEST_CASE(GivesTheSameDocumentForFilesInAnyOrder) {
  const ServiceFile a{"x/a.json", ServiceText("zebra", "/z")};
  const ServiceFile b{"x/b.json", ServiceText("aspen", "/a")};
  const auto one = BundleServices({a, b}, 3, 19);
  const auto other = BundleServices({b, a}, 3, 19);
  BOOST_REQUIRE(one.HasValue());
  BOOST_REQUIRE(other.HasValue());
  BOOST_TEST(one.Value() == other.Value());
  const auto read = ParseFleetConfiguration(one.Value());
  BOOST_REQUIRE(read.HasValue());
  BOOST_TEST(read.Value().services[0].name.value == "aspen");
}

BOOST_AUTO_TEST_CASE(NamesTheFileOfEachFault) {
  const auto result = BundleServices({{"c.json", ServiceText("c", "/same")},
                                      {"b.json", "{"},
                                      {"a.json", ServiceText("c", "/same")}},
                                     3, 300);
  BOOST_REQUIRE(!result.HasValue());
  std::vector<std::string> places;
  for (const auto& fault : result.Failure()) {
    places.push_back(fault.file + ":" + std::to_string(fault.line) + ":" +
                     std::string(FaultReasonName(fault.reason)));
  }
  const std::vector<std::string> expected = {
      "b.json:1:not-json",          "c.json:1:duplicate-name",
      "c.json:3:conflicting-route", "a.json:1:out-of-range",
      "c.json:1:out-of-range",
  };
  BOOST_TEST(places == expected, boost::test_tools::per_element());
}

BOOST_AUTO_TEST_CASE(RefusesWhatTheHostsWouldRefuse) {
  const ServiceFile file{"a.json", ServiceText("a", "/a")};
  BOOST_TEST(!BundleServices({file}, 0, 19).HasValue());
  BOOST_TEST(!BundleServices({file}, 1, 0).HasValue());
  std::vector<ServiceFile> many;
  for (int index = 0; index < 2000; ++index) {
    const auto name = "s" + std::to_string(index) + std::string(50, 'x');
    many.push_back(
        {name, ServiceText(name, "/" + name + std::string(150, 'x'))});
  }
  const auto result = BundleServices(many, 1, 19);
  BOOST_REQUIRE(!result.HasValue());
  BOOST_TEST((result.Failure()[0].reason == FaultReason::kTooLarge));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::configuration
