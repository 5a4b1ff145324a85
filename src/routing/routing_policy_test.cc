#include "routing/routing_policy.h"

#include <boost/test/unit_test.hpp>
#include <map>

namespace burdockwheel::routing {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const kernel::Instant kStart{std::chrono::hours(1)};

std::vector<WorkerView> Views(std::size_t count) {
  std::vector<WorkerView> views(count);
  for (std::size_t index = 0; index < count; ++index) {
    views[index].key = static_cast<WorkerKey>(index + 1);
    views[index].service_time = milliseconds(10);
    views[index].expected_delay = milliseconds(10);
  }
  return views;
}

// Returns how often each of the workers is chosen out of 1,000.
std::map<std::size_t, int> Choices(RoutingPolicy& policy, kernel::Instant now,
                                   const std::vector<WorkerView>& views) {
  std::mt19937_64 random(3);
  std::map<std::size_t, int> choices;
  for (int count = 0; count < 1000; ++count)
    choices[policy.Choose(now, views, random).value()] += 1;
  return choices;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(RoutingPolicyTest)

BOOST_AUTO_TEST_CASE(NoPolicyChoosesFromNothing) {
  std::mt19937_64 random(3);
  for (const auto& name : RoutingPolicyRegistry::Names()) {
    const auto policy = RoutingPolicyRegistry::CreateOrNull(name);
    BOOST_TEST(!policy->Choose(kStart, {}, random).has_value());
  }
  BOOST_TEST(RoutingPolicyRegistry::Names().size() == 5U);
}

BOOST_AUTO_TEST_CASE(RandomFollowsTheWeights) {
  const auto policy = RoutingPolicyRegistry::CreateOrNull("random");
  auto views = Views(2);
  views[0].weight = 0.1;
  const auto choices = Choices(*policy, kStart, views);
  BOOST_TEST(choices.at(0) > 50);
  BOOST_TEST(choices.at(0) < 140);
}

BOOST_AUTO_TEST_CASE(TwoChoicesNeverTakesTheBusiest) {
  const auto policy = RoutingPolicyRegistry::CreateOrNull("two-choices");
  auto views = Views(3);
  views[1].own_in_flight = 5;
  BOOST_TEST(!Choices(*policy, kStart, views).contains(1));
}

BOOST_AUTO_TEST_CASE(ExpectedDelaySpreadsOverEqualsAndLeavesTheWorse) {
  const auto policy = RoutingPolicyRegistry::CreateOrNull("expected-delay");
  auto views = Views(3);
  views[2].expected_delay = milliseconds(12);
  const auto choices = Choices(*policy, kStart, views);
  BOOST_TEST(choices.at(0) > 400);
  BOOST_TEST(choices.at(1) > 400);
  BOOST_TEST(!choices.contains(2));
}

BOOST_AUTO_TEST_CASE(ExpectedDelayProbesOnlyWhatIsStaleAndRemoteOnesSeldom) {
  const auto policy = RoutingPolicyRegistry::CreateOrNull("expected-delay");
  std::mt19937_64 random(3);
  auto views = Views(3);
  for (auto& view : views) {
    view.report.emplace();
    view.reported_at = kStart;
  }
  views[2].is_local = false;
  auto now = kStart + milliseconds(999);
  BOOST_TEST(policy->WantedProbes(now, views, 9, random).empty());
  now = kStart + seconds(2);
  views[1].reported_at = now;
  BOOST_TEST(
      policy->WantedProbes(now, views, 9, random) == std::vector<WorkerKey>{1},
      boost::test_tools::per_element());
  BOOST_TEST(policy->WantedProbes(now, views, 9, random).empty());
  now = kStart + seconds(21);
  BOOST_TEST(policy->WantedProbes(now, views, 9, random).size() == 3U);
}

BOOST_AUTO_TEST_CASE(ProbePoolTakesTheFastestOfTheColdAndNoneOfTheHot) {
  const auto policy = RoutingPolicyRegistry::CreateOrNull("probe-pool");
  std::mt19937_64 random(3);
  auto views = Views(4);
  views[0].service_time = milliseconds(1);
  views[1].service_time = milliseconds(5);
  policy->ObserveProbe(kStart, 1, {6, 50, false}, {});
  policy->ObserveProbe(kStart, 2, {2, 0, false}, {});
  policy->ObserveProbe(kStart, 3, {2, 0, false}, {});
  policy->ObserveProbe(kStart, 4, {2, 0, false}, {});
  BOOST_TEST(policy->Choose(kStart, views, random).value() == 1U);
}

BOOST_AUTO_TEST_CASE(ProbeAnswersServeLimitedTimesAndForALimitedTime) {
  const auto policy = RoutingPolicyRegistry::CreateOrNull("probe-pool");
  const auto views = Views(4);
  policy->ObserveProbe(kStart, 2, {0, 0, false}, {});
  // 20 uses and then by chance.
  const auto choices = Choices(*policy, kStart, views);
  BOOST_TEST(choices.at(1) < 320);
  policy->ObserveProbe(kStart, 2, {0, 0, false}, {});
  BOOST_TEST(Choices(*policy, kStart + seconds(2), views).at(1) < 300);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
