// Many hosts in front of workers that turn cold: never more than a cold worker
// bears, and the warm ones are in use soon after.
#include <algorithm>
#include <boost/test/unit_test.hpp>
#include <deque>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::ServiceName kService{"lookup"};
constexpr seconds kWarmUp{3};
constexpr double kRampPerSecond = 6.3;
constexpr double kExcess = 1.5;
constexpr double kSlack = 8;
constexpr double kBound = kRampPerSecond * kExcess + kSlack;
constexpr milliseconds kWork{100};
constexpr milliseconds kReportGap{100};

// The hosts send their calls to workers that are probed each 100 ms; all hosts
// hear the reports a little later. Messages between hosts may be lost.
class ColdFleet {
 public:
  ColdFleet(int hosts, int workers, int domains, std::uint64_t seed)
      : random(seed), domains(domains) {
    for (int index = 0; index < workers; ++index) {
      model::WorkerRecord record;
      record.id.value = "w-" + std::to_string(index);
      record.service = kService;
      record.failure_domain.value = "fd-" + std::to_string(index % domains);
      record.slots = 6;
      record.warm_up = milliseconds(0);
      this->records.push_back(record);
    }
    this->service.name = kService;
    this->service.routing_policy = "expected-worth";
    this->service.warm_up = {kRampPerSecond, kWarmUp};
    auto& kind = this->service.kinds.emplace_back();
    kind.name = "read";
    kind.is_idempotent = true;
    kind.objective = milliseconds(800);
    kind.deadline = seconds(2);
    for (int index = 0; index < hosts; ++index) this->StartHost(index);
    this->TellHosts();
    this->TellReports();
  }

  void StartHost(int index) {
    auto settings = testing::MakeSettings(this->random());
    settings.failure_domain.value = DomainOf(index);
    settings.peer_address = "10.0.0." + std::to_string(index) + ":7000";
    settings.routing.warm_up = {kExcess, kSlack};
    auto host = std::make_unique<testing::FakeHost>(this->loop, settings);
    auto* const started = host.get();
    host->on_start = [this, started](const StartAttempt& attempt) {
      this->OnArrival(*started, attempt);
    };
    if (index == static_cast<int>(this->hosts.size())) {
      this->hosts.push_back(std::move(host));
    } else {
      // Ends no sooner than its timers.
      this->ended.push_back(std::move(this->hosts[index]));
      this->hosts[index] = std::move(host);
    }
    started->Handle(
        ConfigurationAccepted{testing::MakeConfiguration(this->service)});
    started->Handle(WorkersListed{this->records});
  }

  std::string DomainOf(int index) const {
    return "fd-" + std::to_string(index % this->domains);
  }

  // Each host learns of the others, less those that the network loses.
  void TellHosts() {
    for (std::size_t self = 0; self < this->hosts.size(); ++self) {
      PeersListed event;
      for (std::size_t other = 0; other < this->hosts.size(); ++other) {
        if (other == self || this->IsLost()) continue;
        event.peers.push_back(
            {{other + 1}, {DomainOf(static_cast<int>(other))}});
        event.known_hosts.push_back(
            {"10.0.0." + std::to_string(other) + ":7000",
             {DomainOf(static_cast<int>(other))}});
      }
      this->hosts[self]->Handle(event);
    }
  }

  bool IsLost() {
    return std::uniform_real_distribution<>(0, 1)(this->random) < this->loss;
  }

  // What the workers report is heard by each host 20 to 120 ms later.
  void TellReports() {
    load::LoadDigest digest;
    for (const auto& record : this->records) {
      const auto& worker = this->workers[record.id];
      const auto remaining = std::max<kernel::Instant::duration>(
          worker.warm_at - this->loop.Now(), milliseconds(0));
      model::WorkerReport report;
      report.calls_in_flight = std::min(worker.calls, 6);
      report.calls_queued = std::max(worker.calls - 6, 0);
      report.slots = 6;
      report.warm_up = std::chrono::ceil<milliseconds>(remaining);
      digest.push_back({load::HashOf(record.id), report, milliseconds(20)});
    }
    for (auto& host : this->hosts) {
      if (this->IsLost()) continue;
      const milliseconds delay(20 + this->random() % 100);
      this->loop.ScheduleAt(this->loop.Now() + delay,
                            [host = host.get(), digest] {
                              host->Handle(PeerLoadReceived{digest});
                            });
    }
    this->loop.ScheduleAt(this->loop.Now() + kReportGap,
                          [this] { this->TellReports(); });
  }

  void TurnCold(std::size_t worker) {
    this->workers[this->records[worker].id].warm_at =
        this->loop.Now() + kWarmUp;
    this->workers[this->records[worker].id].cold_from = this->loop.Now();
  }

  // A process ends and starts again: its calls are lost, its record tells.
  void Restart(std::size_t worker) {
    this->records[worker].incarnation += 1;
    this->records[worker].warm_up = kWarmUp;
    this->workers[this->records[worker].id].calls = 0;
    this->TurnCold(worker);
    for (auto& host : this->hosts) {
      const milliseconds delay(this->random() % 500);
      this->loop.ScheduleAt(this->loop.Now() + delay,
                            [this, host = host.get()] {
                              host->Handle(WorkersListed{this->records});
                            });
    }
  }

  void OnArrival(testing::FakeHost& host, const StartAttempt& attempt) {
    const milliseconds way(1 + this->random() % 6);
    this->loop.ScheduleAt(this->loop.Now() + way, [this, &host, attempt] {
      auto& worker = this->workers[attempt.worker];
      const auto now = this->loop.Now();
      const bool is_cold = now < worker.warm_at;
      this->all_calls += 1;
      worker.calls += 1;
      worker.total += 1;
      if (is_cold) this->CountCold(worker, now);
      const auto work = is_cold ? 2 * kWork : kWork;
      this->loop.ScheduleAt(now + work, [this, &host, attempt, work] {
        auto& ended = this->workers[attempt.worker];
        ended.calls = std::max(ended.calls - 1, 0);
        host.EndAttempt(attempt, testing::Answer(200, work));
      });
    });
  }

  // Sends calls at the hosts of a domain, or of all, for a while.
  void Run(std::chrono::nanoseconds time, double calls_per_second,
           int domain = -1) {
    const auto end = this->loop.Now() + time;
    std::exponential_distribution<> gap(calls_per_second);
    while (this->loop.Now() < end) {
      const std::chrono::duration<double> next(gap(this->random));
      this->loop.RunFor(
          std::chrono::duration_cast<std::chrono::nanoseconds>(next));
      auto index = this->random() % this->hosts.size();
      while (domain >= 0 && static_cast<int>(index) % this->domains != domain)
        index = this->random() % this->hosts.size();
      this->hosts[index]->Call(
          {{}, kService, 0, this->loop.Now() + seconds(2), 0, 42});
    }
  }

  struct Worker {
    int calls = 0;
    int total = 0;
    kernel::Instant warm_at;
    kernel::Instant cold_from;
    std::deque<kernel::Instant> arrivals;  // while it was cold
  };

  int TotalOf(std::size_t worker) {
    return this->workers[this->records[worker].id].total;
  }

  testing::EventLoop loop;
  std::mt19937_64 random;
  int domains;
  double loss = 0;
  model::ServiceDefinition service;
  std::vector<model::WorkerRecord> records;
  std::map<model::WorkerId, Worker> workers;
  std::vector<std::unique_ptr<testing::FakeHost>> hosts;
  std::vector<std::unique_ptr<testing::FakeHost>> ended;
  std::size_t most_in_a_second = 0;  // at a cold worker
  int all_calls = 0;

 private:
  void CountCold(Worker& worker, kernel::Instant now) {
    auto& arrivals = worker.arrivals;
    arrivals.push_back(now);
    while (now - arrivals.front() >= seconds(1)) arrivals.pop_front();
    this->most_in_a_second = std::max(this->most_in_a_second, arrivals.size());
  }
};

}  // namespace

BOOST_AUTO_TEST_SUITE(WarmUpTest)

// Load pattern: a domain's workers come back together and idle, and the hosts
// all prefer them.
BOOST_AUTO_TEST_CASE(WorkersThatReturnTogetherGetNoMoreThanTheyBear) {
  for (const int hosts : {20, 133, 300}) {
    ColdFleet fleet(hosts, 24, 3, 7);
    fleet.Run(seconds(8), 300);
    for (std::size_t worker = 0; worker < 24; worker += 3)
      fleet.Restart(worker);
    fleet.Run(seconds(3), 300);
    BOOST_TEST_MESSAGE("hosts=" << hosts << " most=" << fleet.most_in_a_second);
    BOOST_TEST(fleet.most_in_a_second <= kBound);
    BOOST_TEST(fleet.most_in_a_second > 0U);
    // The warm ones are in use again within seconds.
    fleet.Run(seconds(2), 300);
    const int before = fleet.TotalOf(0);
    const int all_before = fleet.all_calls;
    fleet.Run(seconds(4), 300);
    const double share = static_cast<double>(fleet.TotalOf(0) - before) /
                         (fleet.all_calls - all_before);
    BOOST_TEST(share > 0.5 / 24);
  }
}

// Load pattern: all calls come to one domain, whose few workers turn cold at
// once without a new record, while messages are lost and hosts start.
BOOST_AUTO_TEST_CASE(NoWindowExceedsTheBoundWhateverHappens) {
  std::size_t most = 0;
  for (std::uint64_t seed = 1; seed <= 6; ++seed) {
    ColdFleet fleet(40, 9, 3, seed);
    fleet.loss = 0.1;
    fleet.TellHosts();
    fleet.Run(seconds(8), 100, 0);
    for (int step = 0; step < 12; ++step) {
      const auto choice = fleet.random() % 3;
      if (choice == 0) {
        for (std::size_t worker = 0; worker < 9; worker += 3)
          fleet.Restart(worker);
      } else if (choice == 1) {
        fleet.StartHost(static_cast<int>(fleet.random() % 40));
        fleet.TellHosts();
      } else {
        fleet.Restart(fleet.random() % 9);
      }
      fleet.Run(milliseconds(1500), 100, 0);
    }
    most = std::max(most, fleet.most_in_a_second);
  }
  BOOST_TEST_MESSAGE("most=" << most);
  BOOST_TEST(most <= kBound);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
