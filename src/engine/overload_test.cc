// Measures the effect of the admission queue when twice as many calls arrive as
// the workers can run, and that of hedges when some runs are slow.
#include <array>
#include <boost/test/unit_test.hpp>
#include <cmath>
#include <memory>
#include <random>
#include <vector>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"
#include "engine/testing/fake_worker.h"

namespace burdockwheel::engine {

using std::chrono::duration_cast;
using std::chrono::milliseconds;
using std::chrono::nanoseconds;
using testing::EventLoop;
using testing::FakeHost;
using testing::FakeWorker;

namespace {

const model::ServiceName kService{"lookups"};
constexpr int kHosts = 19;
constexpr int kSlots = 6;
constexpr std::chrono::seconds kWarmUp{2};
constexpr std::chrono::seconds kMeasurementPeriod{4};
constexpr milliseconds kServiceTime{10};
constexpr milliseconds kDeadline{150};
constexpr std::array<int, 2> kWeights{1, 4};

struct Outcome {
  double goodput = 0;                // answers in time, share of capacity
  std::array<double, 2> share{};     // of the answers, by kind
  double missed_deadline_share = 0;  // of the calls, sent but late
  double refusal_p99 = 0;            // ms from arrival to refusal
  double answer_p50 = 0;             // ms from arrival to answer
  double answer_p99 = 0;             // ms from arrival to answer
  int false_not_run = 0;             // calls refused as not run though sent
  double runs_per_call = 0;          // attempts that workers ran for each call
};

double Percentile(std::vector<double>& values, std::size_t percent) {
  if (values.empty()) return 0;
  std::ranges::sort(values);
  return values[values.size() * percent / 100];
}

// Makes a share of the runs slow and sets the hedge delay.
struct SlowRuns {
  double share = 0;  // share of runs that take ten times as long on average
  milliseconds hedge_after{0};
};

// Simulates hosts that share workers. Calls of two kinds arrive in equal
// numbers, at a rate that does not depend on the answers (an open workload).
class OverloadScenario {
 public:
  OverloadScenario(int workers, double load, const Protections& protections,
                   const SlowRuns& slow_runs)
      : load(load),
        capacity(workers * kSlots / 0.010),
        slow_runs(slow_runs),
        random(7) {
    for (int number = 0; number < workers; ++number)
      this->workers.push_back(std::make_unique<FakeWorker>(this->loop, kSlots));
    for (int number = 0; number < kHosts; ++number)
      this->AddHost(static_cast<std::uint64_t>(number), workers, protections);
  }

  Outcome Run() {
    this->start = this->loop.Now();
    for (const auto& host : this->hosts) this->ScheduleArrival(*host);
    this->loop.RunFor(kWarmUp + kMeasurementPeriod + std::chrono::seconds(1));
    Outcome outcome = this->outcome;
    const double answers = this->answers[0] + this->answers[1];
    outcome.goodput =
        answers /
        (this->capacity * static_cast<double>(kMeasurementPeriod.count()));
    for (std::size_t kind = 0; kind < 2; ++kind)
      outcome.share[kind] = this->answers[kind] / answers;
    outcome.missed_deadline_share =
        this->missed_deadline_calls / std::max(1.0, this->calls);
    double runs = 0;
    for (const auto& worker : this->workers) runs += worker->StartedCalls();
    outcome.runs_per_call = runs / this->all_calls;
    outcome.refusal_p99 = Percentile(this->refusal_times, 99);
    outcome.answer_p50 = Percentile(this->answer_times, 50);
    outcome.answer_p99 = Percentile(this->answer_times, 99);
    return outcome;
  }

 private:
  void AddHost(std::uint64_t seed, int workers,
               const Protections& protections) {
    auto settings = testing::MakeSettings(seed + 1);
    settings.protections = protections;
    auto& host = *this->hosts.emplace_back(
        std::make_unique<FakeHost>(this->loop, settings));
    host.on_start = [this, &host](const StartAttempt& attempt) {
      const auto worker = std::stoul(attempt.worker.value.substr(7));
      this->workers[worker]->Enqueue(
          attempt.deadline, [this] { return this->DrawServiceTime(); },
          [&host, attempt](const auto& outcome) {
            host.EndAttempt(attempt, outcome);
          });
    };
    model::ServiceDefinition service;
    service.name = kService;
    for (const int weight : kWeights) {
      model::CallKind kind;
      kind.name = "kind-" + std::to_string(weight);
      kind.is_idempotent = true;
      kind.weight = weight;
      kind.hedge_after = this->slow_runs.hedge_after;
      service.kinds.push_back(kind);
    }
    host.Handle(ConfigurationAccepted{testing::MakeConfiguration(service)});
    host.Handle(testing::MakeWorkers(kService, workers));
  }

  nanoseconds DrawServiceTime() {
    double mean = std::chrono::duration<double>(kServiceTime).count();
    std::uniform_real_distribution<> draw(0, 1);
    if (draw(this->random) < this->slow_runs.share) mean *= 10;
    std::exponential_distribution<> distribution(1 / mean);
    return duration_cast<nanoseconds>(
        std::chrono::duration<double>(distribution(this->random)));
  }

  void ScheduleArrival(FakeHost& host) {
    std::exponential_distribution<> gap(this->load * this->capacity / kHosts);
    const std::chrono::duration<double> wait(gap(this->random));
    this->loop.ScheduleAfter(duration_cast<nanoseconds>(wait), [this, &host] {
      if (this->loop.Now() - this->start > kWarmUp + kMeasurementPeriod) return;
      this->SendCall(host);
      this->ScheduleArrival(host);
    });
  }

  void SendCall(FakeHost& host) {
    const std::size_t kind = this->random() % 2;
    const kernel::Instant now = this->loop.Now();
    const bool is_measured = now - this->start > kWarmUp;
    this->calls += is_measured ? 1 : 0;
    this->all_calls += 1;
    host.Call({{}, kService, kind, now + kDeadline, 0, this->random()},
              [this, kind, now, is_measured](auto, const auto& call_result) {
                if (is_measured) this->RecordEnding(kind, now, call_result);
              });
  }

  void RecordEnding(std::size_t kind, kernel::Instant arrived_at,
                    const FakeHost::CallResult& call_result) {
    const auto time = call_result.at - arrived_at;
    const std::chrono::duration<double, std::milli> ms = time;
    if (call_result.relayed && time <= kDeadline) {
      this->answers[kind] += 1;
      this->answer_times.push_back(ms.count());
      return;
    }
    if (call_result.attempts > 0) this->missed_deadline_calls += 1;
    const bool is_not_run =
        call_result.refusal.run_state == model::RunState::kNotRun;
    if (!call_result.relayed && is_not_run && call_result.attempts > 0)
      this->outcome.false_not_run += 1;
    this->refusal_times.push_back(ms.count());
  }

  EventLoop loop;
  double load;
  double capacity;  // calls per second, without slow runs
  SlowRuns slow_runs;
  std::mt19937_64 random;
  std::vector<std::unique_ptr<FakeWorker>> workers;
  std::vector<std::unique_ptr<FakeHost>> hosts;
  kernel::Instant start;
  Outcome outcome;
  std::array<double, 2> answers{};
  double calls = 0;
  double all_calls = 0;
  double missed_deadline_calls = 0;
  std::vector<double> refusal_times;
  std::vector<double> answer_times;
};

Outcome RunAndReport(const char* name, int workers, double load,
                     const Protections& protections,
                     const SlowRuns& slow_runs = {}) {
  const Outcome outcome =
      OverloadScenario(workers, load, protections, slow_runs).Run();
  BOOST_TEST_MESSAGE("overload "
                     << name << " workers=" << workers << " load=" << load
                     << " goodput=" << outcome.goodput
                     << " share_weight_1=" << outcome.share[0]
                     << " share_weight_4=" << outcome.share[1]
                     << " sent_in_vain=" << outcome.missed_deadline_share
                     << " refusal_p99_ms=" << outcome.refusal_p99
                     << " answer_p50_ms=" << outcome.answer_p50
                     << " answer_p99_ms=" << outcome.answer_p99
                     << " runs_per_call=" << outcome.runs_per_call);
  return outcome;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(OverloadTest)

BOOST_AUTO_TEST_CASE(KeepsGoodputAndSharesAtTwiceTheCapacity) {
  for (const int workers : {6, 20}) {
    const Outcome outcome = RunAndReport("protected", workers, 2, {});
    BOOST_TEST(outcome.goodput >= 0.95);
    BOOST_TEST(std::abs(outcome.share[1] - 0.8) < 0.05);
    BOOST_TEST(outcome.missed_deadline_share < 0.01);
    BOOST_TEST(outcome.refusal_p99 < 100);
    BOOST_TEST(outcome.false_not_run == 0);
  }
}

BOOST_AUTO_TEST_CASE(RefusesNothingWithinTheCapacity) {
  const Outcome outcome = RunAndReport("protected", 20, 0.7, {});
  BOOST_TEST(outcome.goodput > 0.68);
}

BOOST_AUTO_TEST_CASE(LosesGoodputAndSharesWithoutTheQueuesProtections) {
  Protections none;
  none.has_deadline_check = false;
  none.queue = {false, false, false};
  const Outcome outcome = RunAndReport("unprotected", 6, 2, none);
  BOOST_TEST(outcome.goodput < 0.5);
  Protections unweighted;
  unweighted.queue.is_weighted = false;
  BOOST_TEST(RunAndReport("unweighted", 6, 2, unweighted).share[1] < 0.6);
  Protections in_order;
  in_order.queue.is_newest_first = false;
  const double in_order_p50 =
      RunAndReport("in-order", 6, 2, in_order).answer_p50;
  const double newest_first_p50 =
      RunAndReport("newest-first", 6, 2, {}).answer_p50;
  BOOST_TEST(newest_first_p50 < 0.6 * in_order_p50);
}

BOOST_AUTO_TEST_CASE(HedgesReduceTailLatencyWithinTheBudget) {
  const SlowRuns unhedged{0.02, milliseconds(0)};
  const SlowRuns hedged{0.02, milliseconds(20)};
  const Outcome without = RunAndReport("unhedged", 20, 0.5, {}, unhedged);
  const Outcome with = RunAndReport("hedged", 20, 0.5, {}, hedged);
  BOOST_TEST(with.answer_p99 < 0.9 * without.answer_p99);
  BOOST_TEST(with.runs_per_call < 1.05);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
