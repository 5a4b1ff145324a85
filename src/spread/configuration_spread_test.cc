#include "spread/configuration_spread.h"

#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>

#include "configuration/configuration_parser.h"
#include "spread/fake_fleet.h"
#include "spread/reader_choice.h"

namespace burdockwheel::spread {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

}  // namespace

BOOST_AUTO_TEST_SUITE(ConfigurationSpreadTest)

// Both readers of each domain cannot reach the service; membership holds them
// for alive. The slow reads of the others must find the publication.
BOOST_AUTO_TEST_CASE(DoesWithoutItsReaders) {
  for (const bool is_protected : {true, false}) {
    FakeFleetSettings settings;
    settings.loss = 0;  // a host falsely suspected would be relieved of reading
    settings.spread_protections.has_fallback = is_protected;
    auto fleet = StartedFleet(settings);
    std::vector<std::size_t> readers;
    for (std::size_t index = 0; index < fleet.hosts.size(); ++index) {
      if (fleet.hosts[index].spread->IsWatching()) readers.push_back(index);
    }
    BOOST_TEST(readers.size() == 2 * settings.domain_count);
    fleet.is_service_cut = [readers](std::size_t host) {
      return std::ranges::find(readers, host) != readers.end();
    };
    fleet.Run(seconds(30));
    const auto begin = fleet.now;
    fleet.Publish(2, FakeDocument(2, 10));
    fleet.Run(seconds(60));
    const auto time = fleet.TimeToForce(2, begin);
    BOOST_TEST(time.has_value() == is_protected);
    if (time) BOOST_TEST_MESSAGE("all readers cut off: " << time->count());
  }
}

// A host that cannot read the platform once used a whole core: its confirmation
// was overdue for ever.
BOOST_AUTO_TEST_CASE(WaitsForAConfigurationWithoutSpinning) {
  for (const bool is_told : {true, false}) {
    SpreadSettings settings;
    settings.is_told_by_platform = is_told;
    ConfigurationSpread spread(settings);
    auto now = kernel::Instant(minutes(1));
    const auto end = now + seconds(20);
    int wake_ups = 0;
    Actions actions;
    spread.Handle(now, TimerFired(), actions);
    while (now < end) {
      auto next = end;
      bool is_reading = false;
      for (const auto& action : actions) {
        if (const auto* wake = std::get_if<WakeAt>(&action)) next = wake->time;
        if (std::holds_alternative<ReadService>(action)) is_reading = true;
      }
      actions.clear();
      now = std::max(now, next);
      if (is_reading) {
        spread.Handle(now, ServiceReadFailed(), actions);
        continue;
      }
      ++wake_ups;
      spread.Handle(now, TimerFired(), actions);
    }
    BOOST_TEST(wake_ups < 100);
  }
}

BOOST_AUTO_TEST_CASE(AsksPeersAtStartBeforeItTakesCalls) {
  for (const bool is_protected : {true, false}) {
    FakeFleetSettings settings;
    settings.spread_protections.has_confirmation = is_protected;
    auto fleet = StartedFleet(settings);
    fleet.Publish(2, FakeDocument(2, 10));
    fleet.Run(seconds(10));
    // The replica that the new host reads is stale.
    fleet.stale_document = [](std::size_t host) -> std::optional<std::string> {
      if (host != 3) return std::nullopt;
      return FakeDocument(1, 10);
    };
    fleet.Kill(3);
    fleet.Run(seconds(30));
    // No peer can be asked for a while, so that the service is heard first.
    fleet.is_cut = [](std::size_t from, std::size_t to) {
      return from == 3 || to == 3;
    };
    fleet.Start(3);
    bool was_ready_with_older = false;
    for (int step = 0; step < 1000; ++step) {
      fleet.Run(milliseconds(5));
      if (step == 100) fleet.is_cut = nullptr;
      const auto& spread = *fleet.hosts[3].spread;
      const bool is_older = spread.Acceptor().Stamp().version == 1;
      was_ready_with_older =
          was_ready_with_older || (spread.IsReady() && is_older);
    }
    BOOST_TEST(was_ready_with_older == !is_protected);
    BOOST_TEST(fleet.hosts[3].stamp.version == 2U);
    BOOST_TEST(fleet.hosts[3].spread->IsReady());
  }
}

// A peer that does not answer a request has still told of a newer version.
BOOST_AUTO_TEST_CASE(IsNotReadyWhileAFetchOfANewerVersionIsLost) {
  SpreadSettings settings;
  settings.incarnation = {1};
  ConfigurationSpread spread(settings);
  const kernel::Instant start{std::chrono::hours(1)};
  Actions actions;
  spread.Handle(start, TimerFired{}, actions);
  spread.Handle(start, ServiceDocumentRead{1, FakeDocument(1, 1)}, actions);
  spread.Handle(start, StampReceived{{"entry-2"}, {2}, "10.0.0.2:7000", {2, 9}},
                actions);
  spread.Handle(start, ContactEstablished{}, actions);
  BOOST_TEST(!spread.IsReady());
  spread.Handle(start + ConfigurationSpread::kFetchTimeout, TimerFired{},
                actions);
  BOOST_TEST(!spread.IsReady());
  spread.Handle(start + ConfigurationSpread::kConfirmTimeout, TimerFired{},
                actions);
  BOOST_TEST(spread.IsReady());
}

BOOST_AUTO_TEST_CASE(StartsFromPeersWhileTheServiceIsDown) {
  auto fleet = StartedFleet({});
  fleet.is_service_cut = [](std::size_t /*host*/) { return true; };
  fleet.Kill(3);
  fleet.Run(seconds(30));
  fleet.Start(3);
  fleet.Run(seconds(5));
  BOOST_TEST(fleet.hosts[3].spread->IsReady());
  BOOST_TEST(fleet.hosts[3].stamp.version == 1U);
}

BOOST_AUTO_TEST_CASE(IsNotReadyWithoutAnyConfiguration) {
  FakeFleetSettings settings;
  settings.host_count = 3;
  FakeFleet fleet(settings);
  fleet.is_service_cut = [](std::size_t /*host*/) { return true; };
  fleet.StartAll();
  fleet.Run(minutes(5));
  for (const auto& host : fleet.hosts) BOOST_TEST(!host.spread->IsReady());
  fleet.is_service_cut = nullptr;
  fleet.Publish(1, FakeDocument(1, 1));
  fleet.Run(seconds(15));
  for (const auto& host : fleet.hosts) BOOST_TEST(host.spread->IsReady());
}

BOOST_AUTO_TEST_CASE(IsNotReadyAfterAPauseUntilAPeerConfirms) {
  for (const bool is_protected : {true, false}) {
    FakeFleetSettings settings;
    settings.spread_protections.has_confirmation = is_protected;
    auto fleet = StartedFleet(settings);
    // Nothing waits in its buffers when it wakes, and for a second nobody can
    // be asked.
    fleet.is_cut = [](std::size_t from, std::size_t to) {
      return from == 5 || to == 5;
    };
    fleet.is_service_cut = [](std::size_t host) { return host == 5; };
    fleet.Pause(5, minutes(2));
    fleet.Run(seconds(10));
    fleet.Publish(2, FakeDocument(2, 10));
    fleet.Run(seconds(109));
    bool was_ready_with_older = false;
    for (int step = 0; step < 2000; ++step) {
      fleet.Run(milliseconds(5));
      if (step == 400) fleet.is_cut = nullptr;
      if (fleet.hosts[5].paused_until >= fleet.now) continue;
      const auto& spread = *fleet.hosts[5].spread;
      const bool is_older = spread.Acceptor().Stamp().version == 1;
      was_ready_with_older =
          was_ready_with_older || (spread.IsReady() && is_older);
    }
    BOOST_TEST(was_ready_with_older == !is_protected);
    BOOST_TEST(fleet.hosts[5].stamp.version == 2U);
    BOOST_TEST(fleet.hosts[5].spread->IsReady());
  }
}

BOOST_AUTO_TEST_CASE(KeepsWhatIsInForceAndSaysWhyItRefuses) {
  auto fleet = StartedFleet({});
  fleet.Publish(2, "{\"version\": 2, \"services\": 5}");
  fleet.Run(seconds(20));
  for (auto& host : fleet.hosts) BOOST_TEST(host.stamp.version == 1U);
  const auto refusals = [&fleet](const std::string& cause) {
    std::ptrdiff_t count = 0;
    for (const auto& host : fleet.hosts)
      count += std::ranges::count(host.causes, cause);
    return count;
  };
  BOOST_TEST(refusals("refused-invalid") >= 6);
  BOOST_TEST(refusals("refused-invalid") <= 19);
  fleet.Publish(3, FakeDocument(3, 10));
  fleet.Run(seconds(5));
  for (auto& host : fleet.hosts) BOOST_TEST(host.stamp.version == 3U);
  // The service goes back to an older version on every replica.
  fleet.stale_document =
      [](std::size_t /*host*/) -> std::optional<std::string> {
    return FakeDocument(1, 10);
  };
  fleet.Run(minutes(1));
  for (auto& host : fleet.hosts) {
    BOOST_TEST(host.stamp.version == 3U);
    BOOST_TEST(!host.has_gone_back);
  }
  BOOST_TEST(refusals("refused-older") >= 1);
  BOOST_TEST(refusals("refused-older") <= 19);
}

BOOST_AUTO_TEST_CASE(EndsAlikeWhenPublishersRace) {
  auto fleet = StartedFleet({});
  const std::string one = FakeDocument(2, 10, 500);
  const std::string other = FakeDocument(2, 10, 700);
  fleet.Publish(2, one);
  fleet.stale_document =
      [&other](std::size_t host) -> std::optional<std::string> {
    if (host % 2 == 0) return std::nullopt;
    return other;
  };
  fleet.Run(seconds(10));
  for (auto& host : fleet.hosts) {
    BOOST_TEST(host.stamp.version == 2U);
    BOOST_TEST((host.stamp == fleet.hosts[0].stamp));
    BOOST_TEST(!host.has_gone_back);
  }
}

BOOST_AUTO_TEST_CASE(SurvivesAPartitionBetweenTheHosts) {
  auto fleet = StartedFleet({});
  fleet.is_cut = [](std::size_t from, std::size_t to) {
    return from % 3 != to % 3;
  };
  fleet.is_service_cut = [](std::size_t host) { return host % 3 == 1; };
  fleet.Run(minutes(5));
  fleet.Publish(2, FakeDocument(2, 10));
  fleet.Run(minutes(5));
  for (std::size_t index = 0; index < fleet.hosts.size(); ++index)
    BOOST_TEST(fleet.hosts[index].stamp.version == (index % 3 == 1 ? 1U : 2U));
  fleet.is_cut = nullptr;
  const auto begin = fleet.now;
  fleet.Run(seconds(60));
  const auto time = fleet.TimeToForce(2, begin);
  BOOST_REQUIRE(time.has_value());
  BOOST_TEST_MESSAGE("after the end of a partition: " << time->count());
  for (const auto& host : fleet.hosts)
    BOOST_TEST(host.membership->Members().PresentCount() == 18U);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(ReaderChoiceTest)

BOOST_AUTO_TEST_CASE(ChoosesTwoInADomainAndPassesTheDutyOn) {
  std::vector<model::Incarnation> hosts;
  for (std::uint64_t index = 1; index <= 10; ++index) hosts.push_back({index});
  std::vector<int> duties(hosts.size(), 0);
  for (std::uint64_t version = 1; version <= 1000; ++version) {
    std::size_t readers = 0;
    for (std::size_t index = 0; index < hosts.size(); ++index) {
      auto others = hosts;
      others.erase(others.begin() + static_cast<std::ptrdiff_t>(index));
      if (!IsReader(hosts[index], others, version)) continue;
      ++readers;
      ++duties[index];
    }
    BOOST_TEST(readers == kReadersInDomain);
  }
  for (const int duty : duties) BOOST_TEST((duty > 150 && duty < 250));
  BOOST_TEST(IsReader({1}, {}, 5));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::spread
