#include "stand_ins/load/load_lane.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <algorithm>
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <random>

#include "stand_ins/common/token_bytes.h"
#include "stand_ins/load/arrival_schedule.h"
#include "stand_ins/load/oracle_view.h"
#include "stand_ins/load/request_writer.h"
#include "stand_ins/load/target_pool.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using CallPointer = std::unique_ptr<LoadCall>;

constexpr std::chrono::milliseconds kSweepInterval{5};
// How long a target is left out after a connection to it failed, as the
// platform's balancer would do.
constexpr std::chrono::milliseconds kFailedTargetPause{1000};

std::vector<double> SharesOf(const LoadPlan& plan) {
  std::vector<double> shares;
  for (const LoadKind& kind : plan.kinds) shares.push_back(kind.share);
  return shares;
}

}  // namespace

class LoadLane::State {
 public:
  State(const LoadPlan& plan, int lane, OracleView* oracle)
      : plan(plan),
        oracle(oracle),
        context(1),
        arrivals(plan.rate / plan.threads, SharesOf(plan),
                 static_cast<std::size_t>(plan.callers), SeedOf(plan, lane)),
        generator(SeedOf(plan, lane) + 1),
        writer(plan.kinds) {
    this->report.kinds.resize(plan.kinds.size());
    if (plan.mode == LoadMode::kEntryHosts) {
      for (const std::string& host : plan.entry_hosts) this->AddTarget(host);
    } else {
      for (const LoadWorker& worker : plan.workers)
        this->AddTarget(worker.address);
    }
    this->next = this->arrivals.Next();
  }

  void Run(Clock::time_point start_time) {
    this->start = start_time;
    this->WaitForNext();
    this->WaitForSweep();
    this->context.run();
    for (const Target& target : this->targets)
      this->report.connections_opened += target.pool.OpenedCount();
  }

  const LoadReport& Report() const { return this->report; }

 private:
  struct Target {
    Target(asio::io_context& context, const std::string& address,
           int most_connections, TargetPool::OnEnded on_ended)
        : pool(context, address, most_connections, std::move(on_ended)) {}

    TargetPool pool;
    Clock::time_point usable_from;
  };

  static std::uint64_t SeedOf(const LoadPlan& plan, int lane) {
    return plan.seed * 1000 + static_cast<std::uint64_t>(lane) * 2;
  }

  void AddTarget(const std::string& address) {
    this->targets.emplace_back(this->context, address,
                               this->plan.connections_per_target,
                               [this](SendResult result, PendingSend send) {
                                 this->SendEnded(result, std::move(send));
                               });
  }

  bool IsPastEnd() const {
    return this->next.time >= this->plan.warm_up + this->plan.length;
  }

  void WaitForNext() {
    if (this->IsPastEnd()) return;
    this->arrival_timer.expires_at(this->start + this->next.time);
    this->arrival_timer.async_wait([this](boost::system::error_code error) {
      if (error) return;
      this->LaunchDue();
      this->WaitForNext();
    });
  }

  // Launches every call whose intended time has come, so that a late wake-up of
  // the generator delays calls but drops none.
  void LaunchDue() {
    const Clock::time_point now = Clock::now();
    while (!this->IsPastEnd() && this->start + this->next.time <= now) {
      this->Launch();
      this->next = this->arrivals.Next();
    }
  }

  void Launch() {
    auto call = std::make_unique<LoadCall>();
    call->kind = this->next.kind;
    call->caller = this->next.caller;
    call->token = this->next.token;
    call->intended = this->start + this->next.time;
    call->is_recorded = this->next.time >= this->plan.warm_up;
    if (call->is_recorded)
      this->report.send_lag.Add(Clock::now() - call->intended);
    ++this->open_calls;
    if (!this->KindOf(*call).is_keyed) return this->Send(std::move(call));
    if (this->plan.mode == LoadMode::kEntryHosts)
      return this->FetchKey(std::move(call));
    call->key = FormatToken(call->token);
    this->Send(std::move(call));
  }

  const LoadKind& KindOf(const LoadCall& call) const {
    return this->plan.kinds[call.kind];
  }

  void FetchKey(CallPointer call) {
    call->is_fetching_key = true;
    ++call->sends;
    std::string request = RequestWriter::WriteKeyFetch(*call);
    const std::size_t target = this->ChooseTarget(*call);
    this->SendTo(target, std::move(call), std::move(request), 0);
  }

  void Send(CallPointer call) {
    ++call->sends;
    if (call->sends > 1 && call->is_recorded) ++this->report.resends;
    const std::size_t answer_bytes = this->KindOf(*call).answer_bytes;
    std::string request = this->writer.WriteCall(*call);
    const std::size_t target = this->ChooseTarget(*call);
    this->SendTo(target, std::move(call), std::move(request), answer_bytes);
  }

  void SendTo(std::size_t target, CallPointer call, std::string request,
              std::size_t answer_bytes) {
    call->target = target;
    PendingSend send;
    const LoadKind& kind = this->KindOf(*call);
    send.check = AnswerCheck(call->token, answer_bytes);
    send.is_head = kind.method == "HEAD" && !call->is_fetching_key;
    send.deadline = Clock::now() + kind.timeout;
    send.request = std::move(request);
    send.call = std::move(call);
    this->targets[target].pool.Send(std::move(send));
  }

  // A resend goes to another target than the last send, if there is one.
  std::size_t ChooseTarget(const LoadCall& call) {
    if (this->oracle) return this->oracle->Begin(this->KindOf(call).service);
    const Clock::time_point now = Clock::now();
    std::vector<std::size_t>& fit = this->fit_targets;
    fit.clear();
    for (std::size_t target = 0; target < this->targets.size(); ++target) {
      if (this->targets[target].usable_from > now) continue;
      if (call.sends > 1 && target == call.target) continue;
      if (this->plan.mode == LoadMode::kDirect &&
          this->plan.workers[target].service != this->KindOf(call).service)
        continue;
      fit.push_back(target);
    }
    if (fit.empty()) return call.target;
    return fit[this->generator() % fit.size()];
  }

  void SendEnded(SendResult result, PendingSend send) {
    CallPointer call = std::move(send.call);
    if (this->oracle) this->oracle->End(call->target);
    if (result == SendResult::kConnectFailed) {
      this->targets[call->target].usable_from =
          Clock::now() + kFailedTargetPause;
    }
    if (call->is_fetching_key)
      return this->KeyFetchEnded(result, std::move(call), send.check);
    CallVerdict verdict = JudgeSend(result, send.check);
    const LoadKind& kind = this->KindOf(*call);
    const bool has_sends_left = call->sends < kind.most_sends;
    const bool is_key_replaced =
        verdict.is_new_key_offered && !call->may_have_run && has_sends_left;
    if (is_key_replaced) {
      this->RecordKey(*call, verdict.told);
      call->key = send.check.Key();
      return this->Send(std::move(call));
    }
    if (verdict.told == ToldOutcome::kUnknown) call->may_have_run = true;
    if (verdict.is_resend_useful && kind.is_resent && has_sends_left)
      return this->Send(std::move(call));
    if (result == SendResult::kConnectFailed && call->may_have_run)
      verdict.told = ToldOutcome::kUnknown;
    this->EndCall(std::move(call), verdict);
  }

  void KeyFetchEnded(SendResult result, CallPointer call,
                     const AnswerCheck& check) {
    if (result == SendResult::kAnswered && check.Status() == 201 &&
        !check.Key().empty()) {
      call->key = check.Key();
      call->is_fetching_key = false;
      call->sends = 0;
      if (call->is_recorded)
        this->report.key_fetch.Add(Clock::now() - call->intended);
      return this->Send(std::move(call));
    }
    if (call->sends < this->KindOf(*call).most_sends)
      return this->FetchKey(std::move(call));
    this->EndCall(std::move(call), {"no-key", ToldOutcome::kNotRun});
  }

  void EndCall(CallPointer call, const CallVerdict& verdict) {
    --this->open_calls;
    this->RecordKey(*call, verdict.told);
    if (verdict.label == "foreign") ++this->report.foreign_answers;
    if (!call->is_recorded) return;
    KindReport& kind = this->report.kinds[call->kind];
    const std::chrono::nanoseconds latency = Clock::now() - call->intended;
    ++kind.outcomes[verdict.label];
    kind.all.Add(latency);
    if (verdict.told == ToldOutcome::kAnswered) kind.ok.Add(latency);
  }

  // Keys count also while the load warms up: they may never run twice.
  void RecordKey(const LoadCall& call, ToldOutcome told) {
    if (call.key.empty()) return;
    this->report.key_outcomes.push_back({call.key, told});
  }

  void WaitForSweep() {
    if (this->IsPastEnd() && this->open_calls == 0) return this->context.stop();
    this->sweep_timer.expires_after(kSweepInterval);
    this->sweep_timer.async_wait([this](boost::system::error_code) {
      const Clock::time_point now = Clock::now();
      for (Target& target : this->targets) target.pool.EndLateSends(now);
      this->WaitForSweep();
    });
  }

  const LoadPlan& plan;
  OracleView* oracle;
  asio::io_context context;
  asio::steady_timer arrival_timer{this->context};
  asio::steady_timer sweep_timer{this->context};
  ArrivalSchedule arrivals;
  Arrival next;
  std::mt19937_64 generator;
  RequestWriter writer;
  std::deque<Target> targets;
  std::vector<std::size_t> fit_targets;
  LoadReport report;
  Clock::time_point start;
  std::int64_t open_calls = 0;
};

LoadLane::LoadLane(const LoadPlan& plan, int lane, OracleView* oracle)
    : state(std::make_unique<State>(plan, lane, oracle)) {}

LoadLane::~LoadLane() = default;

void LoadLane::Run(kernel::Instant start) { this->state->Run(start); }

const LoadReport& LoadLane::Report() const { return this->state->Report(); }

}  // namespace burdockwheel::stand_ins
