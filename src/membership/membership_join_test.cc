// Checks how soon hosts that start together discover one another.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "membership/membership_table.h"

namespace burdockwheel::membership {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kTimeStep{10};
constexpr milliseconds kOneWayDelay{5};
// The platform starts all hosts within this time.
constexpr int kStartSpreadMs = 300;
constexpr std::size_t kDomains = 3;

std::string AddressOf(std::size_t host) {
  return "10.0.0." + std::to_string(host) + ":7000";
}

// Simulates tables that exchange messages over a lossy network.
class StartingFleet {
 public:
  StartingFleet(std::size_t hosts, double loss,
                std::optional<double> cross_domain_share = std::nullopt)
      : loss(loss) {
    for (std::size_t host = 0; host < hosts; ++host) {
      MembershipSettings settings;
      settings.host = {"host-" + std::to_string(host)};
      settings.incarnation = {host + 1};
      settings.address = AddressOf(host);
      settings.failure_domain = {"fd-" + std::to_string(host % kDomains)};
      settings.seed_addresses = {AddressOf(0), AddressOf(1), AddressOf(2)};
      settings.cross_domain_share = cross_domain_share;
      settings.random_seed = host;
      this->tables.emplace_back(settings);
      this->starts.push_back(this->now +
                             milliseconds(this->random() % kStartSpreadMs));
      this->by_address[AddressOf(host)] = host;
    }
  }

  void Run(milliseconds time) {
    for (const auto end = this->now + time; this->now < end;
         this->now += kTimeStep) {
      this->Deliver();
      for (std::size_t host = 0; host < this->tables.size(); ++host) {
        if (this->now >= this->starts[host] && !this->ended.contains(host))
          this->Handle(host, TimerFired{});
      }
    }
  }

  void Kill(std::size_t host) { this->ended.insert(host); }

  // Returns by how many hosts this one is known and not gone.
  std::size_t CountKnowing(std::size_t host) const {
    std::size_t count = 0;
    for (std::size_t other = 0; other < this->tables.size(); ++other) {
      if (other == host || this->ended.contains(other)) continue;
      for (const auto& [incarnation, member] :
           this->tables[other].Members().All()) {
        if (member.entry.address == AddressOf(host) &&
            member.entry.state != MemberState::kGone)
          ++count;
      }
    }
    return count;
  }

  std::size_t MinKnownMembers() const {
    std::size_t fewest = this->tables.size();
    for (const auto& table : this->tables)
      fewest = std::min(fewest, table.Members().PresentCount());
    return fewest;
  }

  std::uint64_t bytes_crossed = 0;

 private:
  struct Message {
    kernel::Instant arrival;
    std::size_t receiver = 0;
    std::string body;
  };

  void Deliver() {
    const auto due = std::exchange(this->messages, {});
    for (const auto& message : due) {
      if (message.arrival > this->now) {
        this->messages.push_back(message);
        continue;
      }
      if (this->now < this->starts[message.receiver]) continue;
      if (this->ended.contains(message.receiver)) continue;
      auto heartbeat = DecodeHeartbeat(message.body);
      BOOST_TEST_REQUIRE(heartbeat.HasValue());
      this->Handle(message.receiver,
                   HeartbeatArrived{std::move(heartbeat.Value())});
    }
  }

  void Handle(std::size_t host, const Event& event) {
    Actions actions;
    this->tables[host].Handle(this->now, event, actions);
    for (const auto& action : actions) {
      const auto* send = std::get_if<SendHeartbeat>(&action);
      if (send == nullptr) continue;
      const auto receiver = this->by_address.at(send->address);
      if (receiver % kDomains != host % kDomains)
        this->bytes_crossed += send->body.size();
      if (std::uniform_real_distribution<>(0, 1)(this->random) < this->loss)
        continue;
      this->messages.push_back({this->now + kOneWayDelay,
                                this->by_address.at(send->address),
                                send->body});
    }
  }

  double loss;
  kernel::Instant now{std::chrono::hours(1)};
  std::mt19937_64 random{1};
  std::vector<MembershipTable> tables;
  std::vector<kernel::Instant> starts;
  std::map<std::string, std::size_t> by_address;
  std::vector<Message> messages;
  std::set<std::size_t> ended;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(MembershipJoinTest)

BOOST_AUTO_TEST_CASE(DiscoversAllMembersOfALargeFleetWithinSeconds) {
  constexpr std::size_t kHosts = 107;
  StartingFleet fleet(kHosts, 0.01);
  fleet.Run(milliseconds(4000));
  BOOST_TEST_MESSAGE("known after 4 s: " << fleet.MinKnownMembers());
  BOOST_TEST(fleet.MinKnownMembers() >= kHosts * 9 / 10);
  fleet.Run(milliseconds(6000));
  BOOST_TEST(fleet.MinKnownMembers() == kHosts - 1);
}

// Bytes between failure domains are dear: few heartbeats cross, hosts learn of
// one another as soon, and of one that fails within the time that a rank's
// stand-in needs.
BOOST_AUTO_TEST_CASE(KnowsAllMembersThoughFewHeartbeatsCross) {
  constexpr std::size_t kHosts = 133;
  std::uint64_t crossed_by_chance = 0;
  for (const std::optional<double> share :
       {std::optional<double>(), std::optional<double>(0.05)}) {
    StartingFleet fleet(kHosts, 0.01, share);
    fleet.Run(milliseconds(4000));
    BOOST_TEST_MESSAGE("known after 4 s: " << fleet.MinKnownMembers());
    BOOST_TEST(fleet.MinKnownMembers() >= kHosts * 9 / 10);
    fleet.Run(milliseconds(6000));
    BOOST_TEST(fleet.MinKnownMembers() == kHosts - 1);
    fleet.Run(milliseconds(20000));
    BOOST_TEST_MESSAGE("crossed in 30 s: " << fleet.bytes_crossed);
    if (!share) crossed_by_chance = fleet.bytes_crossed;
    if (share) BOOST_TEST(fleet.bytes_crossed * 4 < crossed_by_chance);
    // Suspicions last 8 s at this size; the others hear of the end.
    fleet.Kill(40);
    fleet.Run(milliseconds(20000));
    BOOST_TEST_MESSAGE("not heard of the end: " << fleet.CountKnowing(40));
    BOOST_TEST(fleet.CountKnowing(40) == 0U);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::membership
