#include "queue_model.h"

#include <algorithm>
#include <cmath>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <utility>

#include "routing/service_router.h"

namespace burdockwheel::routing_trial {

namespace {

using kernel::Instant;
using std::chrono::nanoseconds;

constexpr nanoseconds kOneWay = std::chrono::microseconds(500);
constexpr nanoseconds kCrossingOneWay = std::chrono::microseconds(4500);
constexpr nanoseconds kMeanService = std::chrono::milliseconds(10);
constexpr double kServiceSigma = 0.5;  // of the logarithm
constexpr double kSlowFactor = 10;
constexpr Instant kStart{std::chrono::hours(1)};

struct Call {
  Instant arrived_at;
  std::vector<model::WorkerId> tried;
};

struct Attempt {
  std::uint64_t id = 0;
  std::size_t host = 0;
  std::size_t worker = 0;
  Instant started_at;
  Call call;
};

struct Worker {
  model::WorkerId address;
  std::size_t domain = 0;
  double slowness = 1;
  bool is_rejecting = false;
  int running = 0;
  int in_transit = 0;
  std::deque<Attempt> queued;

  model::WorkerReport Report() const {
    return {this->running, static_cast<int>(this->queued.size()), false};
  }
  int Held() const {
    return this->running + static_cast<int>(this->queued.size());
  }
};

struct Host {
  std::size_t domain = 0;
  std::unique_ptr<routing::ServiceRouter> router;
  std::deque<Call> waiting;
  std::optional<Instant> wake_at;
};

struct Event {
  Instant at;
  std::uint64_t order = 0;
  std::function<void()> run;

  friend bool operator>(const Event& left, const Event& right) {
    return std::tie(left.at, left.order) > std::tie(right.at, right.order);
  }
};

class QueueModel {
 public:
  explicit QueueModel(const TrialCase& trial_case)
      : trial(trial_case), random(trial_case.seed) {
    this->MakeWorkers();
    this->MakeHosts();
  }

  TrialResult Run() {
    const auto fault_at = kStart + this->trial.duration / 6;
    this->At(fault_at, [this] { this->BeginFault(); });
    for (std::size_t host = 0; host < this->hosts.size(); ++host)
      this->ScheduleArrival(host);
    while (!this->events.empty()) {
      const Event event = this->events.top();
      this->events.pop();
      this->now = event.at;
      event.run();
    }
    std::ranges::sort(this->result.latencies);
    const double possible =
        this->CallRate() / this->trial.load *
        std::chrono::duration<double>(this->trial.duration).count() * 11 / 12;
    this->result.goodput =
        static_cast<double>(this->result.latencies.size()) / possible;
    return std::move(this->result);
  }

 private:
  void MakeWorkers() {
    this->workers.resize(static_cast<std::size_t>(this->trial.workers));
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
      this->workers[index].address = {"10.0.0." + std::to_string(index) +
                                      ":80"};
      this->workers[index].domain =
          index % static_cast<std::size_t>(this->trial.domains);
    }
  }

  void MakeHosts() {
    std::vector<model::WorkerRecord> records;
    for (const auto& worker : this->workers) {
      records.push_back({worker.address,
                         0,
                         {},
                         {"trial"},
                         {std::to_string(worker.domain)},
                         model::WorkerState::kLive});
    }
    model::ServiceDefinition definition;
    definition.worker_slots = this->trial.slots;
    definition.routing_policy = this->trial.policy;
    this->hosts.resize(static_cast<std::size_t>(this->trial.hosts));
    for (std::size_t index = 0; index < this->hosts.size(); ++index) {
      auto& host = this->hosts[index];
      host.domain = index % static_cast<std::size_t>(this->trial.domains);
      host.router = std::make_unique<routing::ServiceRouter>(
          model::FailureDomain{std::to_string(host.domain)},
          std::make_shared<routing::ProbeBudget>(this->trial.probes),
          this->trial.router);
      host.router->UpdateDefinition(kStart, definition, 25);
      host.router->UpdateWorkers(kStart, records);
    }
  }

  void BeginFault() {
    auto& worker = this->workers.front();
    if (this->trial.fault == Fault::kOneSlow) worker.slowness = kSlowFactor;
    if (this->trial.fault == Fault::kOneRejecting) worker.is_rejecting = true;
  }

  // Returns the calls that all hosts together take in a second.
  double CallRate() const {
    double capable = this->trial.workers;
    if (this->trial.fault == Fault::kOneSlow) capable -= 1 - 1 / kSlowFactor;
    if (this->trial.fault == Fault::kOneRejecting) capable -= 1;
    return this->trial.load * capable * this->trial.slots /
           std::chrono::duration<double>(kMeanService).count();
  }

  void At(Instant time, std::function<void()> run) {
    this->events.push({time, ++this->last_order, std::move(run)});
  }

  void ScheduleArrival(std::size_t host) {
    std::exponential_distribution<double> gap(
        this->CallRate() / static_cast<double>(this->hosts.size()));
    const auto at =
        this->now + std::chrono::duration_cast<nanoseconds>(
                        std::chrono::duration<double>(gap(this->random)));
    if (at > kStart + this->trial.duration) return;
    this->At(at, [this, host] {
      this->result.calls += 1;
      this->hosts[host].waiting.push_back({this->now, {}});
      this->Dispatch(host);
      this->ScheduleArrival(host);
    });
  }

  void Dispatch(std::size_t index) {
    auto& host = this->hosts[index];
    this->DropOld(host);
    while (!host.waiting.empty()) {
      const auto worker = this->ChooseWorker(host);
      if (!worker) break;
      Call call = std::move(host.waiting.front());
      host.waiting.pop_front();
      this->Send(index, *worker, std::move(call));
    }
    this->SendProbes(index);
    if (!host.waiting.empty()) this->ScheduleWake(index);
  }

  void DropOld(Host& host) {
    while (!host.waiting.empty() &&
           this->now - host.waiting.front().arrived_at >
               this->trial.most_wait) {
      host.waiting.pop_front();
      this->result.dropped += 1;
    }
  }

  void ScheduleWake(std::size_t index) {
    auto& host = this->hosts[index];
    const auto wake = host.router->NextWake();
    if (!wake || (host.wake_at && *host.wake_at <= *wake)) return;
    host.wake_at = std::max(*wake, this->now + nanoseconds(1));
    this->At(*host.wake_at, [this, index] {
      this->hosts[index].wake_at.reset();
      this->Dispatch(index);
    });
  }

  std::optional<std::size_t> ChooseWorker(Host& host) {
    if (this->trial.policy.starts_with("oracle")) return this->AskOracle(host);
    const auto address = host.router->Choose(
        this->now, host.waiting.front().tried, this->random);
    if (!address) return std::nullopt;
    const auto found =
        std::ranges::find(this->workers, *address, &Worker::address);
    return static_cast<std::size_t>(found - this->workers.begin());
  }

  std::size_t AskOracle(const Host& host) {
    std::size_t best = 0;
    double least = 1e9;
    std::uniform_real_distribution<double> tie(0, 0.001);
    for (std::size_t index = 0; index < this->workers.size(); ++index) {
      const auto& worker = this->workers[index];
      if (worker.is_rejecting) continue;
      const int held = worker.Held() + worker.in_transit;
      double delay = 1 + std::max(0, held + 1 - this->trial.slots) /
                             static_cast<double>(this->trial.slots);
      if (this->trial.policy == "oracle") delay *= worker.slowness;
      if (worker.domain != host.domain)
        delay += 2 * Ratio(kCrossingOneWay, kMeanService);
      delay += tie(this->random);
      if (delay >= least) continue;
      least = delay;
      best = index;
    }
    return best;
  }

  static double Ratio(nanoseconds dividend, nanoseconds divisor) {
    return static_cast<double>(dividend.count()) /
           static_cast<double>(divisor.count());
  }

  nanoseconds OneWay(std::size_t host, std::size_t worker) const {
    const bool is_local =
        this->hosts[host].domain == this->workers[worker].domain;
    return is_local ? kOneWay : kOneWay + kCrossingOneWay;
  }

  void Send(std::size_t host, std::size_t worker, Call call) {
    Attempt attempt{++this->last_attempt, host, worker, this->now,
                    std::move(call)};
    this->result.attempts += 1;
    if (this->hosts[host].domain != this->workers[worker].domain)
      this->result.crossings += 1;
    this->hosts[host].router->AttemptStarted(
        this->now, this->workers[worker].address, {attempt.id});
    this->workers[worker].in_transit += 1;
    this->At(this->now + this->OneWay(host, worker),
             [this, attempt = std::move(attempt)] { this->Reach(attempt); });
  }

  void Reach(const Attempt& attempt) {
    auto& worker = this->workers[attempt.worker];
    worker.in_transit -= 1;
    if (worker.is_rejecting) {
      this->Return(attempt, model::AttemptResult::kRefused, {});
      return;
    }
    worker.queued.push_back(attempt);
    if (worker.slowness == 1) this->CountHeld(worker.Held());
    this->RunQueued(attempt.worker);
  }

  void CountHeld(int held) {
    auto& counts = this->result.held_counts;
    const auto index = static_cast<std::size_t>(held);
    if (counts.size() <= index) counts.resize(index + 1);
    counts[index] += 1;
  }

  void RunQueued(std::size_t index) {
    auto& worker = this->workers[index];
    while (worker.running < this->trial.slots && !worker.queued.empty()) {
      Attempt attempt = std::move(worker.queued.front());
      worker.queued.pop_front();
      worker.running += 1;
      std::lognormal_distribution<double> factor(
          -kServiceSigma * kServiceSigma / 2, kServiceSigma);
      const double service = static_cast<double>(kMeanService.count()) *
                             factor(this->random) * worker.slowness;
      this->At(this->now + nanoseconds(static_cast<std::int64_t>(service)),
               [this, attempt = std::move(attempt)] { this->Finish(attempt); });
    }
  }

  void Finish(const Attempt& attempt) {
    auto& worker = this->workers[attempt.worker];
    worker.running -= 1;
    this->RunQueued(attempt.worker);
    this->Return(attempt, model::AttemptResult::kAnswered, worker.Report());
  }

  void Return(const Attempt& attempt, model::AttemptResult result,
              const model::WorkerReport& report) {
    this->At(this->now + this->OneWay(attempt.host, attempt.worker),
             [this, attempt, result, report] {
               this->End(attempt, result, report);
             });
  }

  void End(const Attempt& attempt, model::AttemptResult ended,
           const model::WorkerReport& report) {
    auto& host = this->hosts[attempt.host];
    const auto& address = this->workers[attempt.worker].address;
    const bool is_answered = ended == model::AttemptResult::kAnswered;
    host.router->AttemptEnded(
        this->now, address, {attempt.id},
        {ended, is_answered ? 200 : 0, this->now - attempt.started_at, report});
    if (is_answered) {
      if (attempt.call.arrived_at > kStart + this->trial.duration / 12)
        this->result.latencies.push_back(this->now - attempt.call.arrived_at);
    } else {
      this->result.refused_attempts += 1;
      Call again = attempt.call;
      again.tried.push_back(address);
      host.waiting.push_front(std::move(again));
    }
    this->Dispatch(attempt.host);
  }

  void SendProbes(std::size_t index) {
    auto& host = this->hosts[index];
    if (this->trial.policy.starts_with("oracle")) return;
    for (const auto& address :
         host.router->TakeWantedProbes(this->now, this->random)) {
      this->result.probes += 1;
      const auto found =
          std::ranges::find(this->workers, address, &Worker::address);
      const auto worker =
          static_cast<std::size_t>(found - this->workers.begin());
      const auto one_way = this->OneWay(index, worker);
      this->At(this->now + one_way, [this, index, worker, one_way] {
        const auto report = this->workers[worker].Report();
        this->At(this->now + one_way, [this, index, worker, one_way, report] {
          this->hosts[index].router->ObserveProbe(
              this->now, this->workers[worker].address, report, 2 * one_way);
          this->Dispatch(index);
        });
      });
    }
  }

  const TrialCase& trial;
  std::mt19937_64 random;
  std::vector<Worker> workers;
  std::vector<Host> hosts;
  std::priority_queue<Event, std::vector<Event>, std::greater<>> events;
  Instant now = kStart;
  std::uint64_t last_order = 0;
  std::uint64_t last_attempt = 0;
  TrialResult result;
};

}  // namespace

nanoseconds TrialResult::Quantile(double share) const {
  const auto index = static_cast<std::size_t>(
      share * static_cast<double>(this->latencies.size() - 1));
  return this->latencies[index];
}

int TrialResult::HeldQuantile(double share) const {
  std::uint64_t all = 0;
  for (const auto count : this->held_counts) all += count;
  auto left = static_cast<std::uint64_t>(share * static_cast<double>(all));
  for (std::size_t held = 0; held < this->held_counts.size(); ++held) {
    if (left <= this->held_counts[held]) return static_cast<int>(held);
    left -= this->held_counts[held];
  }
  return static_cast<int>(this->held_counts.size()) - 1;
}

TrialResult RunTrial(const TrialCase& trial_case) {
  return QueueModel(trial_case).Run();
}

}  // namespace burdockwheel::routing_trial
