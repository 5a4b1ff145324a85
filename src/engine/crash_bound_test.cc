// Checks how many workers fleet-wide can be lost to one call that crashes each
// worker that runs it.
#include <boost/test/unit_test.hpp>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

using model::AttemptResult;
using model::RefusalReason;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;
using testing::EventLoop;
using testing::FakeHost;

namespace {

constexpr int kHosts = 19;
constexpr std::uint64_t kCrashingFingerprint = 0xdead;
constexpr std::uint64_t kHotReadFingerprint = 0x40;
constexpr milliseconds kTimeToCrash{3};  // from the request to the crash
constexpr milliseconds kAnswerTime{8};   // of harmless calls
constexpr seconds kRestartTime{5};
const model::ServiceName kService{"archive"};

struct FleetCase {
  int workers = 20;
  bool is_idempotent = true;
  double loss_probability = 0.1;  // of peers' messages
  milliseconds min_delay{4};      // of peers' messages
  milliseconds max_delay{20};     // of peers' messages
  Protections protections;
};

// Simulates hosts that exchange peer messages, and workers that a call can
// crash.
class Fleet {
 public:
  explicit Fleet(const FleetCase& fleet_case)
      : fleet_case(fleet_case),
        is_up(static_cast<std::size_t>(fleet_case.workers), true),
        incarnation(static_cast<std::size_t>(fleet_case.workers), 0) {
    for (int number = 0; number < kHosts; ++number) this->AddHost(number);
    this->loop.RunFor(std::chrono::minutes(1));
  }

  // Sends the crashing call to a host; `on_failed` runs after the call failed.
  void SendCrashingCall(int host,
                        const std::function<void()>& on_failed = nullptr) {
    this->Host(host).Call(
        this->Request(kCrashingFingerprint),
        [this, host, on_failed](model::CallId call, const auto& call_result) {
          const bool is_reported_not_run =
              !call_result.relayed &&
              call_result.refusal.run_state == model::RunState::kNotRun;
          const bool has_run =
              this->executed_crashing_calls.contains({host, call.value});
          this->false_not_run += is_reported_not_run && has_run ? 1 : 0;
          if (on_failed) on_failed();
        });
  }

  // Sends the crashing call to a random host, and again each time it fails.
  void ResendCrashingCall(milliseconds wait) {
    this->SendCrashingCall(this->RandomHost(), [this, wait] {
      this->loop.ScheduleAfter(
          wait, [this, wait] { this->ResendCrashingCall(wait); });
    });
  }

  // Sends harmless calls of the same kind, half of them the same hot read.
  void SendHarmlessCalls(milliseconds time, microseconds gap) {
    this->SendHarmlessCallsUntil(this->loop.Now() + time, gap);
  }

  void SendHarmlessCallsUntil(kernel::Instant end, microseconds gap) {
    if (this->loop.Now() > end) return;
    const bool is_hot = this->random() % 2 == 0;
    const std::uint64_t fingerprint =
        is_hot ? kHotReadFingerprint : this->random();
    this->harmless_calls += 1;
    this->Host(this->RandomHost())
        .Call(this->Request(fingerprint),
              [this](auto, const auto& call_result) {
                if (call_result.relayed) return;
                this->harmless_calls_failed += 1;
                if (call_result.refusal.reason !=
                    RefusalReason::kSuspectedCrashingCall)
                  return;
                this->harmless_calls_held += 1;
                this->last_harmless_held_at = call_result.at;
              });
    this->loop.ScheduleAfter(
        gap, [this, end, gap] { this->SendHarmlessCallsUntil(end, gap); });
  }

  // Crashes the worker as a fault of its machine would; it restarts after
  // kRestartTime.
  void Crash(std::size_t worker) {
    this->is_up[worker] = false;
    this->incarnation[worker] += 1;
    this->loop.ScheduleAfter(kRestartTime,
                             [this, worker] { this->is_up[worker] = true; });
  }

  EventLoop loop;
  int crashes = 0;
  int harmless_calls = 0;
  int harmless_calls_failed = 0;
  int harmless_calls_held = 0;
  int false_not_run = 0;  // refused as not run although a worker ran it
  kernel::Instant last_harmless_held_at;
  std::mt19937_64 random{11};

  int RandomHost() { return static_cast<int>(this->random() % kHosts); }

 private:
  FakeHost& Host(int number) {
    return *this->hosts[static_cast<std::size_t>(number)];
  }

  CallArrived Request(std::uint64_t fingerprint) {
    return {{}, kService, 0, this->loop.Now() + seconds(1), 0, fingerprint};
  }

  void AddHost(int number) {
    auto settings =
        testing::MakeSettings(static_cast<std::uint64_t>(number) + 1);
    settings.protections = this->fleet_case.protections;
    auto& host = *this->hosts.emplace_back(
        std::make_unique<FakeHost>(this->loop, settings));
    host.on_start = [this, &host, number](const StartAttempt& attempt) {
      this->Run(host, number, attempt);
    };
    host.on_share = [this, number](const ShareCrashSuspicion& share) {
      this->SendToPeers(number, share);
    };
    model::ServiceDefinition service;
    service.name = kService;
    service.kinds.emplace_back();
    service.kinds[0].name = "mix";
    service.kinds[0].is_idempotent = this->fleet_case.is_idempotent;
    host.Handle(ConfigurationAccepted{testing::MakeConfiguration(service)});
    host.Handle(testing::MakeWorkers(kService, this->fleet_case.workers));
  }

  void Run(FakeHost& host, int number, const StartAttempt& attempt) {
    const std::size_t worker = std::stoul(attempt.worker.value.substr(7));
    if (!this->is_up[worker]) {
      this->loop.ScheduleAfter(milliseconds(1), [&host, attempt] {
        host.EndAttempt(attempt, testing::Failure(AttemptResult::kNotSent));
      });
      return;
    }
    const bool is_crashing_call =
        host.FingerprintOf(attempt.call) == kCrashingFingerprint;
    const int incarnation = this->incarnation[worker];
    this->loop.ScheduleAfter(
        is_crashing_call ? kTimeToCrash : kAnswerTime, [=, this, &host] {
          const bool is_alive = this->incarnation[worker] == incarnation;
          if (is_alive && !is_crashing_call) {
            host.EndAttempt(attempt, testing::Answer(200, kAnswerTime));
            return;
          }
          if (is_alive) {
            this->crashes += 1;
            this->executed_crashing_calls.insert({number, attempt.call.value});
            this->Crash(worker);
          }
          host.EndAttempt(attempt, testing::Failure(AttemptResult::kBroken));
        });
  }

  void SendToPeers(int from, const ShareCrashSuspicion& share) {
    for (int to = 0; to < kHosts; ++to) {
      if (to == from) continue;
      if (std::uniform_real_distribution<>(0, 1)(this->random) <
          this->fleet_case.loss_probability)
        continue;
      const auto delay =
          milliseconds(std::uniform_int_distribution<std::int64_t>(
              this->fleet_case.min_delay.count(),
              this->fleet_case.max_delay.count())(this->random));
      this->loop.ScheduleAfter(delay, [this, to, share] {
        this->Host(to).Handle(CrashSuspected{share.fingerprint, share.service,
                                             share.worker, share.crashes});
      });
    }
  }

  FleetCase fleet_case;
  std::set<std::pair<int, std::uint64_t>>
      executed_crashing_calls;  // by host and call
  std::vector<bool> is_up;
  std::vector<int> incarnation;  // counts the crashes of each worker
  std::vector<std::unique_ptr<FakeHost>> hosts;
};

void Report(const char* name, const Fleet& fleet) {
  BOOST_TEST_MESSAGE("crash "
                     << name << " workers_lost=" << fleet.crashes
                     << " innocents=" << fleet.harmless_calls
                     << " innocents_failed=" << fleet.harmless_calls_failed
                     << " innocents_held=" << fleet.harmless_calls_held);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(CrashBoundTest)

BOOST_AUTO_TEST_CASE(OneIdempotentCallCrashesTwoWorkers) {
  Fleet fleet({});
  fleet.SendCrashingCall(3);
  fleet.loop.RunFor(seconds(10));
  Report("one-call-idempotent", fleet);
  BOOST_TEST(fleet.crashes == 2);
}

BOOST_AUTO_TEST_CASE(OneNonIdempotentCallCrashesOneWorker) {
  FleetCase not_idempotent;
  not_idempotent.is_idempotent = false;
  Fleet fleet(not_idempotent);
  fleet.SendCrashingCall(3);
  fleet.loop.RunFor(seconds(10));
  Report("one-call-not-idempotent", fleet);
  BOOST_TEST(fleet.crashes == 1);
}

BOOST_AUTO_TEST_CASE(ACallSentToAllHostsAtOnceCrashesAtMostOneWorkerPerHost) {
  for (const double loss_probability : {0.0, 0.1, 0.3}) {
    FleetCase lossy;
    lossy.loss_probability = loss_probability;
    lossy.workers = 60;
    Fleet fleet(lossy);
    for (int host = 0; host < kHosts; ++host) fleet.SendCrashingCall(host);
    fleet.loop.RunFor(seconds(5));
    for (int repeat = 0; repeat < 20; ++repeat) {
      for (int host = 0; host < kHosts; ++host) fleet.SendCrashingCall(host);
      fleet.loop.RunFor(seconds(1));
    }
    Report("at-once-to-19-hosts", fleet);
    BOOST_TEST(fleet.crashes <= kHosts);
    BOOST_TEST(fleet.false_not_run == 0);
  }
}

BOOST_AUTO_TEST_CASE(ARepeatedlyResentCallCrashesAtMostSixWorkers) {
  for (const bool is_idempotent : {true, false}) {
    FleetCase again;
    again.is_idempotent = is_idempotent;
    Fleet fleet(again);
    fleet.SendHarmlessCalls(seconds(20), milliseconds(1));
    fleet.ResendCrashingCall(milliseconds(1));
    fleet.loop.RunFor(seconds(29));
    Report(is_idempotent ? "resent-idempotent" : "resent-not-idempotent",
           fleet);
    BOOST_TEST(fleet.crashes <= 6);
    BOOST_TEST(fleet.false_not_run == 0);
    // The remaining failures are calls that ran on a worker when it crashed.
    BOOST_TEST(fleet.harmless_calls_held <= fleet.harmless_calls / 200);
  }
}

// Reports sent with heartbeats take seconds to arrive, so each host detects the
// crashing call on its own.
BOOST_AUTO_TEST_CASE(CrashesAtMostTwoWorkersPerHostWhenPeerMessagesAreSlow) {
  FleetCase slow;
  slow.workers = 60;
  slow.min_delay = milliseconds(200);
  slow.max_delay = milliseconds(2000);
  Fleet fleet(slow);
  fleet.ResendCrashingCall(milliseconds(1));
  fleet.loop.RunFor(seconds(29));
  Report("resent-slow-peers", fleet);
  BOOST_TEST(fleet.crashes <= 2 * kHosts);
  BOOST_TEST(fleet.false_not_run == 0);
}

BOOST_AUTO_TEST_CASE(ACallResentForAnHourCrashesAtMostFifteenWorkers) {
  Fleet fleet({});
  fleet.ResendCrashingCall(milliseconds(50));
  fleet.loop.RunFor(std::chrono::minutes(60));
  Report("resent-for-an-hour", fleet);
  BOOST_TEST(fleet.crashes <= 15);
}

BOOST_AUTO_TEST_CASE(CrashesAllWorkersWithoutTheGuard) {
  FleetCase without_guard;
  without_guard.protections.has_crash_guard = false;
  Fleet fleet(without_guard);
  fleet.ResendCrashingCall(milliseconds(1));
  fleet.loop.RunFor(seconds(4));
  Report("resent-without-guard", fleet);
  BOOST_TEST(fleet.crashes == without_guard.workers);
}

BOOST_AUTO_TEST_CASE(AHarmlessHotReadIsReleasedSoonAfterFiveWorkersCrash) {
  Fleet fleet({});
  fleet.SendHarmlessCalls(seconds(10), microseconds(250));
  fleet.loop.RunFor(seconds(5));
  const kernel::Instant lost_at = fleet.loop.Now();
  for (std::size_t worker = 0; worker < 5; ++worker) fleet.Crash(worker);
  fleet.loop.RunFor(seconds(20));
  Report("five-workers-lost", fleet);
  const auto held = std::chrono::duration<double>(
      fleet.harmless_calls_held > 0 ? fleet.last_harmless_held_at - lost_at
                                    : std::chrono::nanoseconds(0));
  BOOST_TEST_MESSAGE("crash last innocent held after_s=" << held.count());
  BOOST_TEST(held.count() <= 0.5);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
