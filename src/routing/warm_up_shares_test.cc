#include "routing/warm_up_shares.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <functional>
#include <random>
#include <string>
#include <vector>

namespace burdockwheel::routing {

namespace {

constexpr kernel::Instant kStart{std::chrono::hours(1)};
// 6.3 calls a second, times 1.5, plus 8.
constexpr int kMaxCalls = 17;

std::vector<model::KnownHost> MakeHosts(int count, int domains) {
  std::vector<model::KnownHost> hosts;
  hosts.reserve(static_cast<std::size_t>(count));
  for (int index = 0; index < count; ++index) {
    hosts.push_back({"10.0.0." + std::to_string(index) + ":7000",
                     {"fd-" + std::to_string(index % domains)}});
  }
  return hosts;
}

// What all hosts may send the worker together, each with its own view.
int SumOfShares(const std::vector<model::KnownHost>& hosts,
                const model::WorkerId& worker,
                const std::function<bool(std::size_t, std::size_t)>& knows) {
  int sum = 0;
  for (std::size_t self = 0; self < hosts.size(); ++self) {
    WarmUpShares shares(hosts[self]);
    std::vector<model::KnownHost> known;
    for (std::size_t other = 0; other < hosts.size(); ++other) {
      if (knows(self, other)) known.push_back(hosts[other]);
    }
    shares.SetHosts(kStart, known);
    sum += shares.ShareOf(worker, {"fd-0"}, kMaxCalls);
  }
  return sum;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(WarmUpSharesTest)

BOOST_AUTO_TEST_CASE(AThirdOfTheBoundIsDividedAmongHostsThatKnowOneAnother) {
  for (const int count : {20, 133, 300}) {
    const auto hosts = MakeHosts(count, 3);
    for (int worker = 0; worker < 100; ++worker) {
      const int sum = SumOfShares(hosts, {"w-" + std::to_string(worker)},
                                  [](auto, auto) { return true; });
      BOOST_TEST(sum == kMaxCalls / 3);
    }
  }
}

// Guards against a worker that gets twice too much while a partition divides
// hosts that have not known one another before.
BOOST_AUTO_TEST_CASE(TwoDisjointViewsStayWithinTheBound) {
  const auto hosts = MakeHosts(60, 3);
  std::mt19937_64 random(3);
  for (int worker = 0; worker < 50; ++worker) {
    std::vector<bool> side(hosts.size());
    for (auto&& each : side) each = random() % 2 == 0;
    const int sum = SumOfShares(
        hosts, {"w-" + std::to_string(worker)},
        [&side](auto self, auto other) { return side[self] == side[other]; });
    BOOST_TEST(sum <= kMaxCalls);
  }
}

// Each host misses some of the others, as after a change that spreads by
// gossip.
BOOST_AUTO_TEST_CASE(ViewsThatMissAFifthStayWithinTheBound) {
  const auto hosts = MakeHosts(133, 3);
  std::mt19937_64 random(5);
  for (int worker = 0; worker < 50; ++worker) {
    const int sum =
        SumOfShares(hosts, {"w-" + std::to_string(worker)},
                    [&random](auto, auto) { return random() % 5 != 0; });
    BOOST_TEST(sum <= kMaxCalls);
  }
}

BOOST_AUTO_TEST_CASE(AHostThatKnowsNobodyHasNoShareYet) {
  const auto hosts = MakeHosts(3, 1);
  WarmUpShares shares(hosts[0]);
  BOOST_TEST(!shares.IsSettled(kStart + std::chrono::hours(1)));
  shares.SetHosts(kStart, {hosts[0]});
  BOOST_TEST(!shares.IsSettled(kStart + std::chrono::hours(1)));
  shares.SetHosts(kStart, hosts);
  BOOST_TEST(!shares.IsSettled(kStart));
  BOOST_TEST(shares.IsSettled(kStart + WarmUpShares::kSettlingTime));
}

// Guards against load that all comes from few hosts: other workers are given to
// other hosts.
BOOST_AUTO_TEST_CASE(SharesAreSpreadOverTheHostsOfTheDomain) {
  const auto hosts = MakeHosts(60, 3);
  int most = 0;
  for (const auto& self : hosts) {
    if (self.failure_domain.value != "fd-0") continue;
    WarmUpShares shares(self);
    shares.SetHosts(kStart, hosts);
    int sum = 0;
    for (int worker = 0; worker < 80; ++worker)
      sum +=
          shares.ShareOf({"w-" + std::to_string(worker)}, {"fd-0"}, kMaxCalls);
    most = std::max(most, sum);
  }
  // 80 workers, 4 calls each for 20 hosts: 16 in the mean.
  BOOST_TEST(most < 32);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::routing
