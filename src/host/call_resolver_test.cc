#include "host/call_resolver.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

namespace burdockwheel::host {

namespace {

using std::chrono::milliseconds;

const kernel::Instant kNow{std::chrono::hours(1)};

model::FleetConfiguration SplitConfiguration(std::uint64_t version,
                                             double first_weight,
                                             double second_weight) {
  model::FleetConfiguration configuration;
  configuration.version = version;
  for (const auto* name : {"old", "new"}) {
    model::ServiceDefinition service;
    service.name = {name};
    configuration.services.push_back(service);
  }
  model::PrefixRoute route;
  route.host = "shop.example";
  route.prefix = "/items/";
  route.kind.name = "items";
  route.kind.deadline = milliseconds(1500);
  route.kind.is_idempotent = true;
  route.targets = {{{"old"}, first_weight}, {{"new"}, second_weight}};
  configuration.prefix_routes.push_back(route);
  return configuration;
}

class ResolverFixture {
 public:
  void Take(model::FleetConfiguration configuration) {
    this->resolver.SetConfiguration(std::make_shared<ConfigurationInForce>(
        std::make_shared<const model::FleetConfiguration>(
            std::move(configuration))));
    this->resolver.SetSound(true);
  }

  kernel::Result<ResolvedCall, model::Refusal> Resolve(
      const std::string& target, std::vector<http::Header> headers = {}) {
    headers.push_back({"Host", "shop.example"});
    http::Request request{"GET", target, std::move(headers), ""};
    return this->resolver.Resolve(kNow, request);
  }

  // How many of the next calls go to each service.
  std::map<std::string, int> Share(int calls) {
    std::map<std::string, int> counts;
    for (int call = 0; call < calls; ++call) {
      auto resolved = this->Resolve("/items/1");
      BOOST_REQUIRE(resolved.HasValue());
      counts[resolved.Value().submission.service.value] += 1;
    }
    return counts;
  }

  CallResolver resolver{model::HostId{"host-1"},
                        http::DefaultMessageConventions(), 1};
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallResolverTest, ResolverFixture)

BOOST_AUTO_TEST_CASE(RefusesAsNotRunUntilItKnowsWhatIsInForce) {
  const auto early = this->Resolve("/items/1");
  BOOST_REQUIRE(!early.HasValue());
  BOOST_TEST((early.Failure().reason == model::RefusalReason::kHostNotReady));
  BOOST_TEST((early.Failure().run_state == model::RunState::kNotRun));
  this->Take(SplitConfiguration(1, 90, 10));
  BOOST_TEST(this->Resolve("/items/1").HasValue());
  this->resolver.SetSound(false);
  BOOST_TEST(!this->Resolve("/items/1").HasValue());
}

// The resolver knows nothing of workers, so that a part without room keeps its
// share: what does not fit there is refused and not moved to the other part.
BOOST_AUTO_TEST_CASE(SharesTheCallsOfASplitByItsWeights) {
  this->Take(SplitConfiguration(1, 90, 10));
  for (int run = 0; run < 20; ++run) {
    const auto share = this->Share(100);
    BOOST_TEST(std::abs(share.at("old") - 90) <= 1);
    BOOST_TEST(std::abs(share.at("new") - 10) <= 1);
  }
}

// Versions in quick succession must not begin the split anew each time, or few
// calls between them would all go to one part.
BOOST_AUTO_TEST_CASE(KeepsTheShareOverVersionsThatLeaveTheWeights) {
  std::map<std::string, int> counts;
  for (std::uint64_t version = 1; version <= 200; ++version) {
    this->Take(SplitConfiguration(version, 80, 20));
    for (const auto& [service, calls] : this->Share(2))
      counts[service] += calls;
  }
  BOOST_TEST(std::abs(counts.at("old") - 320) <= 2);
  BOOST_TEST(std::abs(counts.at("new") - 80) <= 2);
}

BOOST_AUTO_TEST_CASE(TakesOtherWeightsWithTheNextCall) {
  this->Take(SplitConfiguration(1, 100, 0));
  BOOST_TEST(this->Share(50).at("old") == 50);
  this->Take(SplitConfiguration(2, 0, 100));
  BOOST_TEST(this->Share(50).at("new") == 50);
}

BOOST_AUTO_TEST_CASE(RefusesAPathWithoutARoute) {
  this->Take(SplitConfiguration(1, 90, 10));
  const auto resolved = this->Resolve("/other/1");
  BOOST_REQUIRE(!resolved.HasValue());
  BOOST_TEST((resolved.Failure().reason == model::RefusalReason::kNoSuchRoute));
}

BOOST_AUTO_TEST_CASE(TakesTheShorterOfTheCallersAndTheRoutesDeadline) {
  this->Take(SplitConfiguration(1, 90, 10));
  const auto& header = http::DefaultMessageConventions().deadline_header;
  const auto deadline_of = [this, &header](const std::string& text) {
    return this->Resolve("/items/1", {{header, text}})
        .Value()
        .submission.deadline;
  };
  BOOST_TEST((deadline_of("300") == kNow + milliseconds(300)));
  BOOST_TEST((deadline_of("9000") == kNow + milliseconds(1500)));
  BOOST_TEST(!this->Resolve("/items/1", {{header, "soon"}}).HasValue());
}

// A deadline beyond an hour was once answered as a malformed request, and a
// route's own time limit beyond 24 days was cut to 32 bits.
BOOST_AUTO_TEST_CASE(TakesDeadlinesOfAnyLength) {
  constexpr milliseconds kThirtyDays = std::chrono::hours(24 * 30);
  auto configuration = SplitConfiguration(1, 90, 10);
  configuration.prefix_routes[0].kind.deadline = kThirtyDays;
  this->Take(configuration);
  const auto& header = http::DefaultMessageConventions().deadline_header;
  for (const auto* text : {"7200000", "2592000000", "9223372036854775807",
                           "99999999999999999999"}) {
    const auto resolved = this->Resolve("/items/1", {{header, text}});
    BOOST_TEST_REQUIRE(resolved.HasValue(), text);
    const auto left = resolved.Value().submission.deadline - kNow;
    const milliseconds stated =
        text == std::string("7200000") ? milliseconds(7'200'000) : kThirtyDays;
    BOOST_TEST((left == stated), text);
  }
  const auto unstated = this->Resolve("/items/1");
  BOOST_REQUIRE(unstated.HasValue());
  BOOST_TEST((unstated.Value().submission.deadline == kNow + kThirtyDays));
  BOOST_TEST(!this->Resolve("/items/1", {{header, "-1"}}).HasValue());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::host
