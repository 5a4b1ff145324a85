// A burst over workers that slow down when nearly full and never answer what
// they cannot queue, met by many hosts whose reports of the workers' load are
// tenths of a second old.
#include <boost/test/unit_test.hpp>
#include <deque>
#include <memory>
#include <random>
#include <string>
#include <utility>
#include <vector>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using testing::EventLoop;
using testing::FakeHost;

const model::ServiceName kService{"files"};
constexpr int kHosts = 16;
constexpr int kWorkers = 18;
constexpr int kDomains = 3;
constexpr int kSlots = 6;
constexpr int kPlaces = 12;
constexpr int kNearlyFull = 5;  // calls
constexpr double kNearlyFullFactor = 1.7;
constexpr milliseconds kMeanWork{220};
constexpr milliseconds kObjective{600};
constexpr milliseconds kDeadline{1500};
constexpr milliseconds kOwnReportGap{100};
// Only every fourth report crosses to the other failure domains.
constexpr milliseconds kForeignReportGap{400};
constexpr milliseconds kReportAge{40};
constexpr double kUsualRate = 190;  // calls a second, all hosts together
constexpr double kBurst = 2;
constexpr std::chrono::seconds kBefore{10};
constexpr std::chrono::seconds kLength{6};

std::string DomainOf(int number) {
  return "domain-" + std::to_string(number % kDomains);
}

// Runs calls on its slots, queues some and forgets the rest.
class SilentWorker {
 public:
  using OnAnswered = std::function<void(const model::AttemptOutcome&)>;

  SilentWorker(EventLoop& loop, std::mt19937_64& random)
      : loop(loop), random(random) {}

  void Take(kernel::Instant deadline, OnAnswered on_answered) {
    if (this->waiting.size() >= kPlaces) {
      ++this->silenced;
      return;
    }
    this->waiting.push_back(
        {this->loop.Now(), deadline, std::move(on_answered)});
    this->StartNext();
  }

  model::WorkerReport Report() const {
    model::WorkerReport report;
    report.calls_in_flight = this->running;
    report.calls_queued = static_cast<int>(this->waiting.size());
    report.slots = kSlots;
    return report;
  }

  int Silenced() const { return this->silenced; }

 private:
  struct Call {
    kernel::Instant taken_at;
    kernel::Instant deadline;
    OnAnswered on_answered;
  };

  void StartNext() {
    while (this->running < kSlots && !this->waiting.empty()) {
      Call call = std::move(this->waiting.front());
      this->waiting.pop_front();
      // Its connection has been closed meanwhile.
      if (call.deadline <= this->loop.Now()) continue;
      ++this->running;
      std::lognormal_distribution<> spread(-0.045, 0.3);
      const double factor =
          this->running >= kNearlyFull ? kNearlyFullFactor : 1;
      const auto work =
          duration_cast<nanoseconds>(std::chrono::duration<double>(kMeanWork) *
                                     factor * spread(this->random));
      const auto end = std::min(this->loop.Now() + work, call.deadline);
      this->loop.ScheduleAt(end, [this, call = std::move(call)] {
        --this->running;
        if (this->loop.Now() < call.deadline) {
          call.on_answered({model::AttemptResult::kAnswered, 200,
                            this->loop.Now() - call.taken_at, this->Report(),
                            false});
        }
        this->StartNext();
      });
    }
  }

  EventLoop& loop;
  std::mt19937_64& random;
  int running = 0;
  int silenced = 0;
  std::deque<Call> waiting;
};

// Shares of the burst's calls.
struct Outcome {
  double in_time = 0;
  double late = 0;
  double refused_at_once = 0;  // within a third of the objective, not run
  double failed = 0;
  int silenced = 0;
};

class BurstScenario {
 public:
  explicit BurstScenario(const routing::RouterSettings& settings) {
    for (int number = 0; number < kWorkers; ++number) {
      this->workers.push_back(
          std::make_unique<SilentWorker>(this->loop, this->random));
    }
    for (int number = 0; number < kHosts; ++number)
      this->AddHost(number, settings);
  }

  Outcome Run() {
    this->burst_at = this->loop.Now() + kBefore;
    this->ends_at = this->burst_at + kLength;
    this->ScheduleArrival();
    this->loop.RunUntil(this->ends_at + kDeadline);
    Outcome shares = this->outcome;
    for (double* share : {&shares.in_time, &shares.late,
                          &shares.refused_at_once, &shares.failed})
      *share /= std::max(1, this->calls);
    for (const auto& worker : this->workers)
      shares.silenced += worker->Silenced();
    return shares;
  }

 private:
  void AddHost(int number, const routing::RouterSettings& routing) {
    auto settings = testing::MakeSettings(static_cast<std::uint64_t>(number));
    settings.failure_domain.value = DomainOf(number);
    settings.routing = routing;
    auto& host = *this->hosts.emplace_back(
        std::make_unique<FakeHost>(this->loop, settings));
    host.on_start = [this, &host](const StartAttempt& attempt) {
      const auto index = std::stoul(attempt.worker.value.substr(7));
      this->workers[index]->Take(attempt.deadline,
                                 [&host, attempt](const auto& result) {
                                   host.EndAttempt(attempt, result);
                                 });
    };
    model::ServiceDefinition service;
    service.name = kService;
    service.routing_policy = "expected-worth";
    service.locality.crossing_price = 0.15;
    auto& kind = service.kinds.emplace_back();
    kind.name = "read";
    kind.is_idempotent = true;
    kind.deadline = kDeadline;
    kind.objective = kObjective;
    host.Handle(ConfigurationAccepted{testing::MakeConfiguration(service)});
    auto listed = testing::MakeWorkers(kService, kWorkers);
    for (int index = 0; index < kWorkers; ++index) {
      auto& record = listed.workers[static_cast<std::size_t>(index)];
      record.failure_domain.value = DomainOf(index);
      record.warm_up = milliseconds(0);
    }
    host.Handle(listed);
    host.Handle(PeersListed{std::vector<load::WatchingPeer>(kHosts - 1)});
    for (int index = 0; index < kWorkers; ++index) {
      const bool is_own = DomainOf(index) == DomainOf(number);
      this->ReportLater(host, index,
                        is_own ? kOwnReportGap : kForeignReportGap);
    }
  }

  void ReportLater(FakeHost& host, int index, milliseconds gap) {
    this->loop.ScheduleAfter(gap, [this, &host, index, gap] {
      const auto report =
          this->workers[static_cast<std::size_t>(index)]->Report();
      this->loop.ScheduleAfter(kReportAge, [&host, index, report] {
        host.Handle(ProbeAnswered{{"worker-" + std::to_string(index)},
                                  kService,
                                  report,
                                  2 * kReportAge});
      });
      this->ReportLater(host, index, gap);
    });
  }

  void ScheduleArrival() {
    const bool is_burst = this->loop.Now() >= this->burst_at;
    std::exponential_distribution<> gap(kUsualRate * (is_burst ? kBurst : 1));
    const std::chrono::duration<double> wait(gap(this->random));
    this->loop.ScheduleAfter(duration_cast<nanoseconds>(wait), [this] {
      if (this->loop.Now() >= this->ends_at) return;
      this->SendCall();
      this->ScheduleArrival();
    });
  }

  void SendCall() {
    const auto now = this->loop.Now();
    const bool is_counted = now >= this->burst_at;
    if (is_counted) ++this->calls;
    auto& host = *this->hosts[this->random() % kHosts];
    host.Call({{}, kService, 0, now + kDeadline, 0, this->random()},
              [this, now, is_counted](auto, const auto& result) {
                if (is_counted) this->Count(result.at - now, result);
              });
  }

  void Count(nanoseconds time, const FakeHost::CallResult& result) {
    if (result.relayed) {
      (time <= kObjective ? this->outcome.in_time : this->outcome.late) += 1;
      return;
    }
    const bool is_not_run =
        result.refusal.run_state == model::RunState::kNotRun;
    const bool is_at_once = is_not_run && time <= kObjective / 3;
    (is_at_once ? this->outcome.refused_at_once : this->outcome.failed) += 1;
  }

  EventLoop loop;
  std::mt19937_64 random{5};
  std::vector<std::unique_ptr<SilentWorker>> workers;
  std::vector<std::unique_ptr<FakeHost>> hosts;
  kernel::Instant burst_at;
  kernel::Instant ends_at;
  int calls = 0;
  Outcome outcome;
};

Outcome RunAndReport(const char* name, bool is_limited) {
  routing::RouterSettings settings;
  settings.is_in_flight_limited = is_limited;
  const Outcome outcome = BurstScenario(settings).Run();
  BOOST_TEST_MESSAGE("burst " << name << " in_time=" << outcome.in_time
                              << " late=" << outcome.late
                              << " refused_at_once=" << outcome.refused_at_once
                              << " failed=" << outcome.failed
                              << " silenced=" << outcome.silenced);
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(BurstTest)

// Without the limit, the hosts together fill the workers' queues between two
// reports, and most calls are late or lost.
BOOST_AUTO_TEST_CASE(HostsTogetherKeepTheWorkersFromFillingUp) {
  const auto limited = RunAndReport("limited", true);
  const auto unlimited = RunAndReport("unlimited", false);
  BOOST_TEST(limited.in_time > unlimited.in_time + 0.1);
  BOOST_TEST(limited.late + limited.failed <
             (unlimited.late + unlimited.failed) / 2);
  BOOST_TEST(limited.silenced == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
