#include "configuration/configuration_review.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <functional>
#include <string>

namespace burdockwheel::configuration {

namespace {

using model::FleetConfiguration;
using std::chrono::milliseconds;

// Two services, each with a route, without anything to find.
FleetConfiguration Sound() {
  FleetConfiguration configuration;
  configuration.version = 7;
  for (const std::string name : {"slots", "trucks"}) {
    model::ServiceDefinition service;
    service.name.value = name;
    configuration.services.push_back(service);
    model::PrefixRoute route;
    route.host = "a.example";
    route.prefix = "/" + name + "/";
    route.kind.name = "r-" + name;
    route.kind.deadline = milliseconds(1200);
    route.kind.objective = milliseconds(400);
    route.targets = {{{name}, 1}};
    configuration.prefix_routes.push_back(route);
  }
  return configuration;
}

struct Case {
  std::function<void(FleetConfiguration&)> change;
  FindingKind kind = FindingKind::kNeverUsed;
  std::string subject;
  std::string part_of_explanation;
};

void CheckFound(const Findings& findings, const Case& expected) {
  for (const auto& finding : findings) {
    const bool is_it = finding.kind == expected.kind &&
                       finding.subject == expected.subject &&
                       finding.explanation.find(expected.part_of_explanation) !=
                           std::string::npos;
    if (is_it) return;
  }
  BOOST_ERROR("not found: " + expected.subject + ": " +
              expected.part_of_explanation);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationReviewTest)

BOOST_AUTO_TEST_CASE(FindsNothingInASoundConfiguration) {
  BOOST_TEST(ReviewConfiguration(Sound()).empty());
  auto next = Sound();
  next.version = 8;
  BOOST_TEST(CompareConfigurations(Sound(), next).empty());
}

BOOST_AUTO_TEST_CASE(FindsWhatCanNeverBeUsedAndWhatContradicts) {
  const Case cases[] = {
      {[](auto& all) { all.prefix_routes.pop_back(); }, FindingKind::kNeverUsed,
       "service trucks", "no route"},
      {[](auto& all) {
         all.prefix_routes[0].targets.push_back({{"trucks"}, 0});
       },
       FindingKind::kNeverUsed, "route r-slots", "trucks has a weight of 0"},
      {[](auto& all) {
         all.prefix_routes[0].kind.objective = milliseconds(2000);
       },
       FindingKind::kContradiction, "route r-slots", "beyond the time limit"},
      {[](auto& all) { all.services[0].retry_share = 0; },
       FindingKind::kContradiction, "route r-slots", "retry budget"},
      {[](auto& all) { all.services[0].warm_up.calls_per_second = 6.3; },
       FindingKind::kContradiction, "service slots", "no worker is ever cold"},
      {[](auto& all) {
         all.services[0].kinds.emplace_back().name = "read";
         all.services[0].queue.most_wait = milliseconds(1000);
       },
       FindingKind::kContradiction, "service slots call read", "may wait"},
  };
  for (const auto& each : cases) {
    auto configuration = Sound();
    each.change(configuration);
    CheckFound(ReviewConfiguration(configuration), each);
  }
}

BOOST_AUTO_TEST_CASE(TellsWhatDiffersFromTheVersionInForce) {
  const Case cases[] = {
      {[](auto& all) { all.version = 7; }, FindingKind::kContradiction,
       "version", "not above"},
      {[](auto& all) {
         all.prefix_routes[0].targets = {{{"trucks"}, 1}};
       },
       FindingKind::kChange, "route r-slots", "go to trucks, before to slots"},
      {[](auto& all) { all.prefix_routes.pop_back(); }, FindingKind::kChange,
       "route r-trucks", "is removed"},
      {[](auto& all) { all.prefix_routes[0].prefix = "/other/"; },
       FindingKind::kChange, "route r-slots", "is new"},
      {[](auto& all) {
         all.prefix_routes[0].kind.deadline = milliseconds(500);
       },
       FindingKind::kChange, "route r-slots", "given up"},
      {[](auto& all) { all.prefix_routes[0].kind.is_idempotent = true; },
       FindingKind::kChange, "route r-slots", "more than once"},
      {[](auto& all) { all.services.pop_back(); }, FindingKind::kChange,
       "service trucks", "is removed"},
      {[](auto& all) { all.services[0].worker_connections = 10; },
       FindingKind::kChange, "service slots", "connections"},
  };
  for (const auto& each : cases) {
    auto next = Sound();
    next.version = 8;
    each.change(next);
    CheckFound(CompareConfigurations(Sound(), next), each);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::configuration
