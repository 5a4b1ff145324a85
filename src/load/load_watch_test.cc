#include "load/load_watch.h"

#include <boost/test/unit_test.hpp>
#include <map>
#include <random>
#include <set>
#include <string>
#include <vector>

namespace burdockwheel::load {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

constexpr milliseconds kInterval{100};

LoadWatchSettings StartingHost() {
  LoadWatchSettings settings;
  settings.failure_domain.value = "fd-0";
  settings.interval = kInterval;
  return settings;
}

// Hosts of several domains that watch the same workers. Digests arrive after a
// millisecond unless they are lost.
class Fleet {
 public:
  Fleet(int hosts, int workers, int domains) : domains(domains) {
    for (int host = 0; host < hosts; ++host) {
      LoadWatchSettings settings;
      settings.failure_domain.value = this->DomainOf(host);
      settings.incarnation.value = 1000 + static_cast<std::uint64_t>(host);
      settings.interval = kInterval;
      settings.join_time = milliseconds(0);
      this->hosts.push_back({LoadWatch(settings), {}, true, 0});
    }
    for (int worker = 0; worker < workers; ++worker) {
      this->workers.push_back({{"w-" + std::to_string(worker)},
                               {"slots"},
                               {this->DomainOf(worker)},
                               std::nullopt});
    }
    this->TellPeers();
  }

  std::string DomainOf(int index) const {
    return "fd-" + std::to_string(index % this->domains);
  }

  void TellPeers() {
    for (std::size_t self = 0; self < this->hosts.size(); ++self) {
      std::vector<WatchingPeer> peers;
      for (std::size_t other = 0; other < this->hosts.size(); ++other) {
        if (other == self || !this->hosts[other].is_alive) continue;
        peers.push_back(
            {{1000 + other}, {this->DomainOf(static_cast<int>(other))}});
      }
      this->hosts[self].watch.SetPeers(peers);
    }
  }

  void Run(std::chrono::milliseconds time) {
    for (const auto end = this->now + time; this->now < end;) {
      this->now += milliseconds(1);
      for (std::size_t self = 0; self < this->hosts.size(); ++self) {
        if (this->hosts[self].is_alive) this->Step(self);
      }
    }
  }

  // The oldest measurement that any host holds of a worker of its own domain.
  milliseconds OldestOfOwnDomain() const {
    milliseconds oldest{0};
    for (std::size_t self = 0; self < this->hosts.size(); ++self) {
      const auto& host = this->hosts[self];
      if (!host.is_alive) continue;
      for (const auto& worker : this->workers) {
        if (worker.failure_domain.value !=
            this->DomainOf(static_cast<int>(self)))
          continue;
        const auto found = host.measured.find(worker.id);
        if (found == host.measured.end()) return milliseconds::max();
        oldest = std::max(oldest, std::chrono::duration_cast<milliseconds>(
                                      this->now - found->second));
      }
    }
    return oldest;
  }

  std::size_t MostBusyHostOf(const std::string& domain) const {
    std::size_t most = 0;
    int probes = -1;
    for (std::size_t self = 0; self < this->hosts.size(); ++self) {
      if (this->DomainOf(static_cast<int>(self)) != domain) continue;
      if (this->hosts[self].probes <= probes) continue;
      probes = this->hosts[self].probes;
      most = self;
    }
    return most;
  }

  int Probes() const {
    int sum = 0;
    for (const auto& host : this->hosts) sum += host.probes;
    return sum;
  }

  struct Host {
    LoadWatch watch;
    std::map<model::WorkerId, kernel::Instant> measured;
    bool is_alive = true;
    int probes = 0;
  };

  kernel::Instant now{std::chrono::hours(1)};
  std::vector<Host> hosts;
  std::vector<WatchedWorker> workers;
  double loss = 0;

 private:
  void Step(std::size_t self) {
    auto& host = this->hosts[self];
    std::vector<WatchedWorker> view = this->workers;
    for (auto& worker : view) {
      const auto found = host.measured.find(worker.id);
      if (found != host.measured.end()) worker.measured_at = found->second;
    }
    for (const auto& probe : host.watch.TakeProbes(this->now, view)) {
      host.probes += 1;
      host.measured[probe.worker] = this->now;
      host.watch.NoteProbeEnded(this->now, probe.worker,
                                model::WorkerReport{1, 0});
    }
    const auto share = host.watch.TakeShare(this->now);
    if (!share) return;
    for (std::size_t other = 0; other < this->hosts.size(); ++other) {
      const bool is_near = this->DomainOf(static_cast<int>(other)) ==
                           this->DomainOf(static_cast<int>(self));
      if (other == self || !(is_near || share->is_wide)) continue;
      if (std::uniform_real_distribution<>(0, 1)(this->random) < this->loss)
        continue;
      this->Tell(this->hosts[other], share->digest);
    }
  }

  void Tell(Host& host, const LoadDigest& digest) {
    for (const auto& entry : digest) {
      for (const auto& worker : this->workers) {
        if (HashOf(worker.id) != entry.worker) continue;
        auto& at = host.measured[worker.id];
        at = std::max(at, this->now - entry.age);
      }
    }
  }

  int domains;
  std::mt19937_64 random{5};
};

}  // namespace

BOOST_AUTO_TEST_SUITE(LoadWatchTest)

BOOST_AUTO_TEST_CASE(OneHostOfEachDomainMeasuresForAll) {
  Fleet fleet(19, 41, 3);
  fleet.Run(seconds(1));
  for (auto& host : fleet.hosts) host.probes = 0;
  fleet.Run(seconds(10));
  // Each worker once in an interval, by somebody.
  BOOST_TEST(fleet.Probes() >= 41 * 95);
  BOOST_TEST(fleet.Probes() <= 41 * 105);
  BOOST_TEST(fleet.OldestOfOwnDomain().count() <= 2 * kInterval.count());
  int busy = 0;
  for (const auto& host : fleet.hosts) busy += host.probes > 0 ? 1 : 0;
  BOOST_TEST(busy == 3);
}

BOOST_AUTO_TEST_CASE(AnotherHostStepsInWithinAnInterval) {
  Fleet fleet(19, 41, 3);
  fleet.Run(seconds(1));
  // It vanishes, and the membership does not know of it yet.
  fleet.hosts[fleet.MostBusyHostOf("fd-1")].is_alive = false;
  milliseconds oldest{0};
  for (int step = 0; step < 100; ++step) {
    fleet.Run(milliseconds(10));
    oldest = std::max(oldest, fleet.OldestOfOwnDomain());
  }
  BOOST_TEST(oldest.count() <= 3 * kInterval.count());
}

BOOST_AUTO_TEST_CASE(LostDigestsCostFewProbes) {
  Fleet fleet(19, 41, 3);
  fleet.loss = 0.05;
  fleet.Run(seconds(1));
  for (auto& host : fleet.hosts) host.probes = 0;
  fleet.Run(seconds(10));
  BOOST_TEST(fleet.Probes() <= 41 * 200);
  BOOST_TEST(fleet.OldestOfOwnDomain().count() <= 3 * kInterval.count());
}

BOOST_AUTO_TEST_CASE(WorkersOfADomainWithoutHostsAreMeasuredByOthers) {
  Fleet fleet(19, 41, 3);
  fleet.Run(seconds(1));
  for (std::size_t host = 2; host < fleet.hosts.size(); host += 3)
    fleet.hosts[host].is_alive = false;
  fleet.TellPeers();
  fleet.Run(seconds(2));
  const auto& measured = fleet.hosts[0].measured;
  for (const auto& worker : fleet.workers) {
    BOOST_REQUIRE(measured.contains(worker.id));
    BOOST_TEST((fleet.now - measured.at(worker.id) <= 4 * kInterval));
  }
}

BOOST_AUTO_TEST_CASE(LeavesAWorkerAloneThatDoesNotAnswer) {
  LoadWatchSettings settings;
  settings.failure_domain.value = "fd-0";
  settings.interval = kInterval;
  LoadWatch watch(settings);
  const std::vector<WatchedWorker> workers = {
      {{"w"}, {"slots"}, {"fd-0"}, std::nullopt}};
  auto now = kernel::Instant(std::chrono::hours(1));
  int probes = 0;
  for (const auto end = now + seconds(60); now < end; now += milliseconds(10)) {
    for (const auto& probe : watch.TakeProbes(now, workers)) {
      ++probes;
      watch.NoteProbeEnded(now, probe.worker, std::nullopt);
    }
  }
  BOOST_TEST(probes >= 15);
  BOOST_TEST(probes <= 20);
}

BOOST_AUTO_TEST_CASE(AHostThatStartsWaitsUntilItMayKnowItsPeers) {
  const auto settings = StartingHost();
  LoadWatch watch(settings);
  const std::vector<WatchedWorker> workers = {
      {{"w-0"}, {"slots"}, {"fd-0"}, std::nullopt}};
  const kernel::Instant start{std::chrono::hours(1)};
  BOOST_TEST(watch.TakeProbes(start, workers).empty());
  BOOST_TEST_REQUIRE(watch.NextWake().has_value());
  BOOST_TEST((*watch.NextWake() == start + settings.join_time));
  BOOST_TEST(watch.TakeProbes(start + settings.join_time, workers).size() ==
             1U);
}

BOOST_AUTO_TEST_CASE(ACallDoesNotWaitForPeers) {
  LoadWatch watch(StartingHost());
  const std::vector<WatchedWorker> workers = {
      {{"w-0"}, {"slots"}, {"fd-0"}, std::nullopt}};
  const kernel::Instant start{std::chrono::hours(1)};
  BOOST_TEST(watch.TakeProbes(start, workers).empty());
  BOOST_TEST(watch.NoteCall(start + milliseconds(20)));
  BOOST_TEST(watch.TakeProbes(start + milliseconds(20), workers).size() == 1U);
  BOOST_TEST(!watch.NoteCall(start + milliseconds(30)));
}

// Hosts that all start again at once know nothing of one another, and each new
// connection costs.
BOOST_AUTO_TEST_CASE(ACallBeforePeersAreKnownMeasuresAFewWorkersNearby) {
  std::vector<WatchedWorker> workers;
  workers.reserve(180);
  for (int index = 0; index < 180; ++index) {
    workers.push_back({{"w-" + std::to_string(index)},
                       {index % 2 == 0 ? "slots" : "bookings"},
                       {"fd-" + std::to_string(index / 2 % 3)},
                       std::nullopt});
  }
  std::map<std::string, std::set<std::string>> measured;
  std::set<std::string> of_any_host;
  const kernel::Instant start{std::chrono::hours(1)};
  for (std::uint64_t host = 1; host <= 20; ++host) {
    auto settings = StartingHost();
    settings.incarnation.value = host;
    LoadWatch watch(settings);
    BOOST_TEST(watch.TakeProbes(start, workers).empty());
    BOOST_TEST(watch.NoteCall(start));
    measured.clear();
    for (const auto& probe : watch.TakeProbes(start, workers)) {
      measured[probe.service.value].insert(probe.worker.value);
      of_any_host.insert(probe.worker.value);
      BOOST_TEST(std::stoi(probe.worker.value.substr(2)) / 2 % 3 == 0);
    }
    BOOST_TEST(measured.size() == 2U);
    for (const auto& [service, names] : measured)
      BOOST_TEST(names.size() == LoadWatch::kWorkersBeforeJoin);
    BOOST_TEST_REQUIRE(watch.NextWake().has_value());
    BOOST_TEST((*watch.NextWake() <= start + settings.join_time));
    // Nobody else has been found.
    BOOST_TEST(watch.TakeProbes(start + settings.join_time, workers).size() >
               80U);
  }
  // Hosts that know nothing of one another choose apart.
  BOOST_TEST(of_any_host.size() > 50U);
}

BOOST_AUTO_TEST_CASE(ACallBeforePeersAreKnownMeasuresADomainWithoutWorkers) {
  LoadWatch watch(StartingHost());
  const std::vector<WatchedWorker> workers = {
      {{"w-0"}, {"slots"}, {"fd-7"}, std::nullopt}};
  const kernel::Instant start{std::chrono::hours(1)};
  BOOST_TEST(watch.TakeProbes(start, workers).empty());
  BOOST_TEST(watch.NoteCall(start));
  BOOST_TEST(watch.TakeProbes(start, workers).size() == 1U);
}

BOOST_AUTO_TEST_CASE(TheWorkersOfALargeDomainAreSharedOut) {
  constexpr int kWorkers = 96;
  Fleet fleet(36, kWorkers, 1);
  fleet.Run(seconds(2));
  const auto& busiest = fleet.hosts[fleet.MostBusyHostOf("fd-0")];
  BOOST_TEST(busiest.probes < fleet.Probes() / 2);
  // Once in each interval, and little more.
  BOOST_TEST(fleet.Probes() < kWorkers * 20 * 3 / 2);
  BOOST_TEST((fleet.OldestOfOwnDomain() <= kInterval * 2));
}

BOOST_AUTO_TEST_CASE(AWorkerThatAppearsIsAskedByFewHosts) {
  Fleet fleet(36, 30, 3);
  fleet.Run(milliseconds(50));
  // Once each, and a few again since their digests were under way.
  BOOST_TEST(fleet.Probes() <= 30 * 2);
  fleet.Run(milliseconds(250));
  BOOST_TEST((fleet.OldestOfOwnDomain() <= kInterval * 2));
}

BOOST_AUTO_TEST_CASE(MeasuresNothingWithoutAnInterval) {
  LoadWatch watch({});
  const std::vector<WatchedWorker> workers = {
      {{"w"}, {"slots"}, {"fd-0"}, std::nullopt}};
  BOOST_TEST(watch.TakeProbes(kernel::Instant(), workers).empty());
  BOOST_TEST(!watch.NextWake().has_value());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(LoadDigestTest)

BOOST_AUTO_TEST_CASE(ComesBackFromTheWire) {
  LoadDigest digest;
  LoadEntry entry;
  entry.worker = HashOf({"w-1"});
  entry.report.calls_in_flight = 3;
  entry.report.calls_queued = 2;
  entry.report.slots = 6;
  entry.report.slowdown = 7.25;
  entry.age = milliseconds(12);
  digest.push_back(entry);
  entry.report.slowdown.reset();
  digest.push_back(entry);
  const auto decoded = TryDecodeLoadDigest(EncodeLoadDigest(digest));
  BOOST_REQUIRE(decoded.has_value());
  BOOST_REQUIRE_EQUAL(decoded->size(), 2U);
  BOOST_TEST((*decoded)[0].worker == entry.worker);
  BOOST_TEST((*decoded)[0].report.calls_queued == 2);
  BOOST_TEST(*(*decoded)[0].report.slowdown == 7.25);
  BOOST_TEST(!(*decoded)[1].report.slowdown.has_value());
  BOOST_TEST(((*decoded)[1].age == milliseconds(12)));
}

BOOST_AUTO_TEST_CASE(OfTheMostEntriesFitsADatagram) {
  LoadDigest digest(kMostEntries);
  for (auto& entry : digest) {
    entry.worker = 0xFFFFFFFF;
    entry.report.calls_in_flight = 60;
    entry.report.calls_queued = 240;
    entry.report.slots = 30;
    entry.report.slowdown = 12;
    entry.age = milliseconds(150);
  }
  BOOST_TEST(EncodeLoadDigest(digest).size() <= 1300U);
}

BOOST_AUTO_TEST_CASE(RefusesMalformedBodies) {
  BOOST_TEST(!TryDecodeLoadDigest("").has_value());
  BOOST_TEST(!TryDecodeLoadDigest("\x92\x01\xc0").has_value());
  LoadDigest digest(1);
  digest[0].report.calls_in_flight = -1;
  BOOST_TEST(!TryDecodeLoadDigest(EncodeLoadDigest(digest)).has_value());
  std::mt19937_64 random(3);
  const std::string sound = EncodeLoadDigest(LoadDigest(8));
  for (int change = 0; change < 10'000; ++change) {
    std::string bytes = sound;
    bytes[random() % bytes.size()] = static_cast<char>(random());
    const auto decoded = TryDecodeLoadDigest(bytes);
    if (decoded) BOOST_TEST(decoded->size() <= kMostEntries);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::load
