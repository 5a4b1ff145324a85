// What the spread costs, and how fast it is.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

#include "spread/fake_fleet.h"

namespace burdockwheel::spread {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

constexpr milliseconds kMostTimeToForce{5000};

std::string Text(const std::vector<milliseconds>& sorted) {
  const auto at = [&sorted](double share) {
    const auto place = static_cast<std::size_t>(
        share * static_cast<double>(sorted.size() - 1));
    return std::to_string(sorted[place].count());
  };
  return "p50=" + at(0.5) + " p99=" + at(0.99) + " worst=" + at(1.0) + " ms";
}

// Publishes one version after another and returns all times to force in
// ascending order. Fails if one took longer than it may.
std::vector<milliseconds> Publications(FakeFleet& fleet, int count) {
  std::vector<milliseconds> all;
  for (int index = 0; index < count; ++index) {
    const std::uint64_t version = 100 + static_cast<std::uint64_t>(index);
    const auto begin = fleet.now;
    fleet.Publish(version, FakeDocument(version, 10));
    fleet.Run(seconds(7));
    const auto times = fleet.TimesToForce(version, begin);
    BOOST_TEST(times.size() == fleet.hosts.size());
    if (times.empty()) continue;
    BOOST_TEST((times.back() < kMostTimeToForce));
    all.insert(all.end(), times.begin(), times.end());
  }
  std::ranges::sort(all);
  return all;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(SpreadFiguresTest)

BOOST_AUTO_TEST_CASE(BringsAPublicationToEveryHost) {
  for (const std::size_t host_count : {std::size_t{19}, std::size_t{100}}) {
    FakeFleetSettings settings;
    settings.host_count = host_count;
    settings.domain_count = host_count == 19 ? 3 : 7;
    auto fleet = StartedFleet(settings);
    const auto times = Publications(fleet, 10);
    BOOST_TEST_MESSAGE(host_count << " hosts, service up: " << Text(times));
    for (const auto& host : fleet.hosts) BOOST_TEST(!host.has_gone_back);
  }
}

BOOST_AUTO_TEST_CASE(BringsAPublicationToHostsThatCannotReachTheService) {
  for (const bool is_protected : {true, false}) {
    for (const std::size_t host_count : {std::size_t{19}, std::size_t{100}}) {
      FakeFleetSettings settings;
      settings.host_count = host_count;
      settings.domain_count = host_count == 19 ? 3 : 7;
      settings.spread_protections.has_peer_fetch = is_protected;
      auto fleet = StartedFleet(settings);
      fleet.is_service_cut = [](std::size_t host) { return host % 2 == 0; };
      fleet.Run(seconds(60));
      if (!is_protected) {
        fleet.Publish(9, FakeDocument(9, 10));
        fleet.Run(minutes(2));
        BOOST_TEST(fleet.TimesToForce(9, fleet.now).size() == host_count / 2);
        continue;
      }
      const auto times = Publications(fleet, 10);
      BOOST_TEST_MESSAGE(host_count << " hosts, service cut off from half: "
                                    << Text(times));
    }
  }
}

BOOST_AUTO_TEST_CASE(KeepsToItsBudgetOfMessagesBytesAndReads) {
  for (const std::size_t host_count : {std::size_t{19}, std::size_t{100}}) {
    FakeFleetSettings settings;
    settings.host_count = host_count;
    settings.domain_count = host_count == 19 ? 3 : 7;
    auto fleet = StartedFleet(settings);
    const auto measure = [&fleet](const std::string& what) {
      for (auto& host : fleet.hosts) {
        host.bytes_sent = host.bytes_received = 0;
        host.messages_sent = host.service_reads = 0;
      }
      constexpr int kSeconds = 60;
      fleet.Run(seconds(kSeconds));
      std::uint64_t most_bytes = 0;
      std::uint64_t most_messages = 0;
      std::uint64_t bytes = 0;
      std::uint64_t reads = 0;
      std::uint64_t up = 0;
      for (const auto& host : fleet.hosts) {
        if (!host.is_up) continue;
        ++up;
        bytes += host.bytes_sent + host.bytes_received;
        reads += host.service_reads;
        most_bytes =
            std::max(most_bytes, host.bytes_sent + host.bytes_received);
        most_messages = std::max(most_messages, host.messages_sent);
      }
      BOOST_TEST_MESSAGE(fleet.hosts.size()
                         << " hosts, " << what
                         << ": bytes/s sent and received, mean "
                         << bytes / kSeconds / up << ", most "
                         << most_bytes / kSeconds << "; messages/s sent, most "
                         << static_cast<double>(most_messages) / kSeconds
                         << "; service reads/s of all "
                         << static_cast<double>(reads) / kSeconds);
      BOOST_TEST(most_bytes / kSeconds < 5000U);
      BOOST_TEST(most_messages <= 6U * kSeconds);
      BOOST_TEST(reads / kSeconds < 2000U);
      return bytes / kSeconds / up;
    };
    const auto calm = measure("calm");
    for (std::size_t index = 0; index < host_count; index += 3)
      fleet.Kill(index);
    const auto crisis = measure("a third killed at once");
    BOOST_TEST(crisis <= calm + calm / 10);
    fleet.is_service_cut = [](std::size_t /*host*/) { return true; };
    measure("a third killed and the service down");
  }
}

BOOST_AUTO_TEST_CASE(BringsWordOfACrashToEveryHost) {
  for (const std::size_t host_count : {std::size_t{19}, std::size_t{100}}) {
    FakeFleetSettings settings;
    settings.host_count = host_count;
    settings.domain_count = host_count == 19 ? 3 : 7;
    auto fleet = StartedFleet(settings);
    const auto begin = fleet.now;
    fleet.RaiseCrashHint(0);
    fleet.Run(seconds(20));
    std::vector<milliseconds> times;
    for (const auto& host : fleet.hosts) {
      if (!host.hint_heard) continue;
      times.push_back(
          std::chrono::duration_cast<milliseconds>(*host.hint_heard - begin));
    }
    // All but the one that raised it.
    BOOST_TEST(times.size() == host_count - 1);
    BOOST_TEST(!fleet.hosts[0].hint_heard.has_value());
    std::ranges::sort(times);
    BOOST_TEST_MESSAGE(host_count << " hosts, word of a crash: "
                                  << Text(times));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::spread
