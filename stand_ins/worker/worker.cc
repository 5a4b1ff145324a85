#include "stand_ins/worker/worker.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <unistd.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <cstdint>
#include <deque>
#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <random>
#include <unordered_map>

#include "stand_ins/common/http_exchange.h"
#include "stand_ins/common/token_bytes.h"
#include "stand_ins/worker/run_counter.h"
#include "stand_ins/worker/slot_queue.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
using Clock = std::chrono::steady_clock;
using ExchangePointer = std::shared_ptr<HttpExchange>;
using Json = nlohmann::json;

constexpr int kCrashExitCode = 86;
constexpr std::size_t kMostLoadSamples = 10000;

template <typename Number>
std::optional<Number> NumberOrNull(std::string_view text) {
  Number number{};
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || error != std::errc()) return std::nullopt;
  return number;
}

HttpAnswer JsonAnswer(const Json& document, int status = 200) {
  HttpAnswer answer;
  answer.status = status;
  answer.fields.emplace_back("Content-Type", "application/json");
  answer.body = document.dump();
  return answer;
}

}  // namespace

class Worker::State {
 public:
  State(asio::io_context& context, const WorkerSettings& settings)
      : context(context),
        controls(settings.controls),
        slot_queue(settings.controls.slots, settings.controls.most_queued),
        law(settings.shape, settings.seed),
        speed(settings.cold_start, Clock::now(), settings.seed + 1),
        generator(settings.seed + 2),
        server(context, [this](const ExchangePointer& exchange) {
          this->Receive(exchange);
        }) {}

  HttpServer& Server() { return this->server; }

  void Drain(std::function<void()> report) {
    this->controls.is_draining = true;
    this->on_drained = std::move(report);
    this->ReportIfDrained();
  }

 private:
  struct Load {
    int in_flight = 0;
    int queued = 0;
  };
  struct LoadSample {
    Clock::time_point time;
    Load load;
  };
  struct Call {
    ExchangePointer exchange;
    std::optional<Clock::time_point> deadline;
    std::unique_ptr<asio::steady_timer> timer;
  };
  struct Totals {
    std::int64_t received = 0;
    std::int64_t answered = 0;
    std::int64_t refused = 0;
    std::int64_t ignored = 0;
    std::int64_t rejected = 0;
    std::int64_t cancelled = 0;
    std::int64_t deadline_passed = 0;
    std::int64_t foreign_bytes = 0;
  };

  void Receive(const ExchangePointer& exchange) {
    const std::string_view target = exchange->Target();
    if (target == "/load") return this->AnswerLoad(exchange);
    if (target == "/counts") return exchange->Answer(this->CountsAnswer());
    if (target == "/oracle") return exchange->Answer(this->OracleAnswer());
    if (target == "/control") return this->ApplyControl(exchange);
    this->ReceiveCall(exchange);
  }

  void ReceiveCall(const ExchangePointer& exchange) {
    ++this->totals.received;
    this->CheckRequestBytes(*exchange);
    if (this->controls.is_rejecting_all) return this->Reject(exchange);
    if (this->controls.is_draining) return this->Refuse(exchange);
    const std::uint64_t number = this->next_call++;
    Call call{exchange, DeadlineOf(*exchange), nullptr};
    if (call.deadline && *call.deadline <= Clock::now())
      return this->Refuse(exchange);
    const Admission admission = this->slot_queue.Offer(number);
    if (admission == Admission::kRefused) {
      if (this->controls.is_silent_when_full) return this->Ignore(exchange);
      return this->Refuse(exchange);
    }
    this->calls.emplace(number, std::move(call));
    if (admission == Admission::kStarted) this->Start(number);
    if (!this->calls.contains(number)) return;
    exchange->WatchClose([this, number] { this->Cancel(number); });
  }

  static std::optional<Clock::time_point> DeadlineOf(
      const HttpExchange& exchange) {
    const auto remaining =
        NumberOrNull<std::int64_t>(exchange.Field("Burdockwheel-Deadline-Ms"));
    if (!remaining) return std::nullopt;
    return Clock::now() + std::chrono::milliseconds(*remaining);
  }

  // Counts request bodies that do not follow from the token beside them.
  void CheckRequestBytes(const HttpExchange& exchange) {
    const auto token = ParseTokenOrNull(exchange.Field(kEchoTokenField));
    if (!token || exchange.Body().empty()) return;
    if (!IsTokenBytes(*token, 0, exchange.Body())) ++this->totals.foreign_bytes;
  }

  // Fails at once, without the statement that the call has not run.
  void Reject(const ExchangePointer& exchange) {
    ++this->totals.rejected;
    HttpAnswer answer;
    answer.status = this->controls.reject_status;
    answer.fields.push_back(this->LoadField());
    exchange->Answer(std::move(answer));
  }

  // Leaves a call without an answer until its caller closes the connection.
  void Ignore(const ExchangePointer& exchange) {
    ++this->totals.ignored;
    const std::uint64_t number = this->next_call++;
    this->ignored.emplace(number, exchange);
    exchange->WatchClose([this, number] { this->ignored.erase(number); });
  }

  // Refuses a call and states that it has not run.
  void Refuse(const ExchangePointer& exchange) {
    ++this->totals.refused;
    HttpAnswer answer;
    answer.status = 503;
    answer.fields.emplace_back("Burdockwheel-Run", "not-run");
    if (this->controls.pause.count() > 0) {
      const auto pause =
          std::chrono::ceil<std::chrono::seconds>(this->controls.pause);
      answer.fields.emplace_back("Retry-After", std::to_string(pause.count()));
    }
    if (this->IsDrawn(this->controls.faults.repeated_refusal))
      answer.fault = AnswerFault::kDoubled;
    answer.fields.push_back(this->LoadField());
    exchange->Answer(std::move(answer));
  }

  void Start(std::uint64_t number) {
    Call& call = this->calls.at(number);
    const HttpExchange& exchange = *call.exchange;
    this->run_counter.CountRun(exchange.Field("Idempotency-Key"));
    if (!exchange.Field("X-Crash").empty()) _exit(kCrashExitCode);
    const Clock::time_point now = Clock::now();
    Clock::time_point end = now + this->ServiceTimeOf(exchange, now);
    const bool is_too_late = call.deadline && *call.deadline < end;
    if (is_too_late) end = *call.deadline;
    if (end == now) return this->Finish(number, is_too_late);
    call.timer = std::make_unique<asio::steady_timer>(this->context, end);
    call.timer->async_wait(
        [this, number, is_too_late](boost::system::error_code error) {
          if (!error) this->Finish(number, is_too_late);
        });
  }

  std::chrono::nanoseconds ServiceTimeOf(const HttpExchange& exchange,
                                         Clock::time_point now) {
    std::chrono::nanoseconds mean = this->controls.MeanOf(exchange.Target());
    const auto stated = NumberOrNull<double>(exchange.Field("X-Service-Ms"));
    if (stated) {
      mean = std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double, std::milli>(*stated));
    }
    if (mean.count() == 0) return mean;
    const double factor = this->speed.FactorAt(now, this->controls);
    return this->law.Draw(
        std::chrono::duration_cast<std::chrono::nanoseconds>(mean * factor));
  }

  void Finish(std::uint64_t number, bool is_too_late) {
    const auto found = this->calls.find(number);
    if (found == this->calls.end()) return;
    const ExchangePointer exchange = std::move(found->second.exchange);
    this->Release(number);
    if (is_too_late) {
      ++this->totals.deadline_passed;
      HttpAnswer answer;
      answer.status = 504;
      answer.fields.push_back(this->LoadField());
      return exchange->Answer(std::move(answer));
    }
    ++this->totals.answered;
    if (this->IsDrawn(this->controls.faults.late))
      return this->AnswerLate(exchange);
    exchange->Answer(this->CallAnswer(*exchange));
  }

  void AnswerLate(const ExchangePointer& exchange) {
    auto timer = std::make_shared<asio::steady_timer>(this->context,
                                                      this->controls.late_by);
    timer->async_wait([this, exchange, timer](boost::system::error_code) {
      exchange->Answer(this->CallAnswer(*exchange));
    });
  }

  HttpAnswer CallAnswer(const HttpExchange& exchange) {
    HttpAnswer answer;
    answer.fields.push_back(this->LoadField());
    const std::string_view text = exchange.Field(kEchoTokenField);
    const auto token = ParseTokenOrNull(text);
    const auto size =
        NumberOrNull<std::size_t>(exchange.Field(kEchoBytesField));
    if (token) {
      answer.fields.emplace_back(kEchoTokenField, text);
      AppendTokenBytes(*token, size.value_or(0), &answer.body);
    } else {
      answer.body = exchange.Body();
    }
    answer.is_chunked = !exchange.Field(kEchoChunkedField).empty();
    answer.fault = this->DrawFault();
    return answer;
  }

  AnswerFault DrawFault() {
    const FaultShares& faults = this->controls.faults;
    if (this->IsDrawn(faults.endless)) return AnswerFault::kEndless;
    if (this->IsDrawn(faults.truncated)) return AnswerFault::kTruncated;
    if (this->IsDrawn(faults.wrong_framing)) return AnswerFault::kWrongFraming;
    if (this->IsDrawn(faults.close_after_write))
      return AnswerFault::kCloseAfterWrite;
    return AnswerFault::kNone;
  }

  bool IsDrawn(double share) {
    if (share <= 0) return false;
    return std::uniform_real_distribution<double>(0, 1)(this->generator) <
           share;
  }

  // The caller has gone: its call is stopped and its slot is free.
  void Cancel(std::uint64_t number) {
    if (!this->calls.contains(number)) return;
    ++this->totals.cancelled;
    this->Release(number);
  }

  void Release(std::uint64_t number) {
    this->calls.erase(number);
    this->slot_queue.Remove(number);
    this->StartQueued();
    this->ReportIfDrained();
  }

  void StartQueued() {
    while (const auto next = this->slot_queue.StartNextOrNull()) {
      Call& call = this->calls.at(*next);
      if (call.deadline && *call.deadline <= Clock::now()) {
        const ExchangePointer exchange = std::move(call.exchange);
        this->calls.erase(*next);
        this->slot_queue.Remove(*next);
        this->Refuse(exchange);
        continue;
      }
      this->Start(*next);
    }
  }

  void ReportIfDrained() {
    if (!this->on_drained || !this->calls.empty()) return;
    asio::post(this->context, std::exchange(this->on_drained, {}));
  }

  Load TrueLoad() const {
    return {this->slot_queue.RunningCount(), this->slot_queue.QueuedCount()};
  }

  Load ShownLoad() const {
    const auto& claimed = this->controls.claimed_load;
    if (claimed) return {claimed->in_flight, claimed->queued};
    return this->TrueLoad();
  }

  std::pair<std::string, std::string> LoadField(const Load& load) const {
    std::string value = "in-flight=" + std::to_string(load.in_flight) +
                        ", queued=" + std::to_string(load.queued);
    if (this->controls.is_draining) value += ", draining";
    return {"Burdockwheel-Load", value};
  }

  std::pair<std::string, std::string> LoadField() const {
    return this->LoadField(this->ShownLoad());
  }

  // The load as it was `load_report_lag` ago, as far as it was looked at since.
  Load LaggingLoad() {
    const Clock::time_point now = Clock::now();
    this->load_samples.push_back({now, this->ShownLoad()});
    const Clock::time_point shown = now - this->controls.load_report_lag;
    while (this->load_samples.size() > 1 &&
           (this->load_samples[1].time <= shown ||
            this->load_samples.size() > kMostLoadSamples))
      this->load_samples.pop_front();
    return this->load_samples.front().load;
  }

  void AnswerLoad(const ExchangePointer& exchange) {
    ++this->load_queries;
    const Load load = this->LaggingLoad();
    HttpAnswer answer = JsonAnswer({{"in_flight", load.in_flight},
                                    {"queued", load.queued},
                                    {"draining", this->controls.is_draining}});
    answer.fields.push_back(this->LoadField(load));
    exchange->Answer(std::move(answer));
  }

  HttpAnswer CountsAnswer() const {
    const ConnectionCounts connections = this->server.Connections();
    return JsonAnswer({
        {"runs", this->run_counter.RunsByKey()},
        {"total_runs", this->run_counter.Total()},
        {"received", this->totals.received},
        {"answered", this->totals.answered},
        {"refused", this->totals.refused},
        {"ignored", this->totals.ignored},
        {"rejected", this->totals.rejected},
        {"cancelled", this->totals.cancelled},
        {"deadline_passed", this->totals.deadline_passed},
        {"foreign_bytes", this->totals.foreign_bytes},
        {"load_queries", this->load_queries},
        {"connections", connections.open},
        {"most_connections", connections.most_open},
        {"accepted_connections", connections.accepted},
        {"most_running", this->slot_queue.MostRunningSeen()},
        {"most_queued", this->slot_queue.MostQueuedSeen()},
    });
  }

  // The state that no host can see, for the reference policy.
  HttpAnswer OracleAnswer() {
    const Load load = this->TrueLoad();
    return JsonAnswer({
        {"running", load.in_flight},
        {"queued", load.queued},
        {"slots", this->slot_queue.Slots()},
        {"slowness", this->speed.FactorAt(Clock::now(), this->controls)},
        {"draining", this->controls.is_draining},
        {"rejecting", this->controls.is_rejecting_all},
    });
  }

  void ApplyControl(const ExchangePointer& exchange) {
    auto applied = TryApplyControls(this->controls, exchange->Body());
    if (!applied.HasValue()) {
      const int failure = static_cast<int>(applied.Failure());
      return exchange->Answer(JsonAnswer({{"failure", failure}}, 400));
    }
    this->controls = std::move(applied).Value();
    this->slot_queue.SetLimits(this->controls.slots,
                               this->controls.most_queued);
    this->StartQueued();
    exchange->Answer(JsonAnswer(Json::object()));
  }

  asio::io_context& context;
  WorkerControls controls;
  SlotQueue slot_queue;
  ServiceTimeLaw law;
  WorkerSpeed speed;
  std::mt19937_64 generator;
  RunCounter run_counter;
  Totals totals;
  std::int64_t load_queries = 0;
  std::uint64_t next_call = 0;
  std::unordered_map<std::uint64_t, Call> calls;
  std::unordered_map<std::uint64_t, ExchangePointer> ignored;
  std::deque<LoadSample> load_samples;
  std::function<void()> on_drained;
  HttpServer server;
};

Worker::Worker(asio::io_context& context, const WorkerSettings& settings)
    : state(std::make_unique<State>(context, settings)) {}

Worker::~Worker() = default;

kernel::Result<std::uint16_t, ListenFailure> Worker::TryListen(
    const std::string& address) {
  return this->state->Server().TryListen(address);
}

void Worker::Drain(std::function<void()> on_drained) {
  this->state->Drain(std::move(on_drained));
}

}  // namespace burdockwheel::stand_ins
