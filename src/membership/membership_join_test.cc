// Checks how soon hosts that start together discover one another.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <chrono>
#include <map>
#include <random>
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

std::string AddressOf(std::size_t host) {
  return "10.0.0." + std::to_string(host) + ":7000";
}

// Simulates tables that exchange messages over a lossy network.
class StartingFleet {
 public:
  StartingFleet(std::size_t hosts, double loss) : loss(loss) {
    for (std::size_t host = 0; host < hosts; ++host) {
      MembershipSettings settings;
      settings.host = {"host-" + std::to_string(host)};
      settings.incarnation = {host + 1};
      settings.address = AddressOf(host);
      settings.failure_domain = {"fd-" + std::to_string(host % 3)};
      settings.seed_addresses = {AddressOf(0), AddressOf(1), AddressOf(2)};
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
        if (this->now >= this->starts[host]) this->Handle(host, TimerFired{});
      }
    }
  }

  std::size_t MinKnownMembers() const {
    std::size_t fewest = this->tables.size();
    for (const auto& table : this->tables)
      fewest = std::min(fewest, table.Members().PresentCount());
    return fewest;
  }

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::membership
