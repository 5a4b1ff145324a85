#include "stand_ins/soak/soak_worker.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <charconv>
#include <utility>

#include "stand_ins/common/http_exchange.h"
#include "stand_ins/common/token_bytes.h"
#include "stand_ins/soak/promise_ledger.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::steady_clock;

constexpr int kNotAvailable = 503;
constexpr int kMisdirected = 421;
constexpr int kBadRequest = 400;
constexpr int kOwnError = 500;
constexpr int kTimedOut = 504;
constexpr int kSuccess = 200;
constexpr int kMostSlowness = 100;
constexpr std::size_t kMostBodyBytes = 6000;

// Returns a time beyond all others if none is told.
std::chrono::milliseconds TimeLeft(const HttpExchange& exchange) {
  const auto text = exchange.Field("Deadline-Ms");
  std::int64_t left = 0;
  const auto parsed =
      std::from_chars(text.data(), text.data() + text.size(), left);
  if (text.empty() || parsed.ec != std::errc())
    return std::chrono::milliseconds::max() / 2;
  return std::chrono::milliseconds(left);
}

SoakArrival ArrivalOf(const HttpExchange& exchange, const std::string& worker,
                      const std::string& service) {
  return {std::string(exchange.Field("Request-Id")),
          worker,
          service,
          std::string(exchange.Target()),
          std::string(exchange.Body()),
          TimeLeft(exchange)};
}

}  // namespace

struct SoakWorker::Call {
  Call(boost::asio::io_context& context, ExchangePointer exchange)
      : exchange(std::move(exchange)), timer(context) {}

  ExchangePointer exchange;
  boost::asio::steady_timer timer;
  std::string id;
  bool is_cut = false;  // at its time limit
};

SoakWorker::SoakWorker(boost::asio::io_context& context, std::string address,
                       PromiseLedger& ledger, std::uint64_t seed)
    : context(context),
      address(std::move(address)),
      ledger(ledger),
      random(seed),
      server(context, [this](const ExchangePointer& exchange) {
        this->Receive(exchange);
      }) {}

SoakWorker::~SoakWorker() { this->End(); }

bool SoakWorker::TryBegin(const std::string& name_now,
                          const std::string& service_now) {
  this->name = name_now;
  this->service = service_now;
  this->is_draining = false;
  this->faults = {};
  this->is_alive = this->server.TryListen(this->address).HasValue();
  return this->is_alive;
}

void SoakWorker::End() {
  this->is_alive = false;
  this->server.StopListening();
  for (const auto& [number, call] : this->calls)
    this->ledger.RunEnded(steady_clock::now(), call->id, this->name);
  this->calls.clear();
  this->waiting.clear();
  this->server.CloseConnections();
}

void SoakWorker::Receive(const ExchangePointer& exchange) {
  if (!this->is_alive) return exchange->Abandon();
  if (exchange->Target() == kHealthPath) return this->AnswerHealth(exchange);
  if (exchange->Field("Request-Id").empty())
    return this->Reject(exchange, kBadRequest);
  const auto expected = exchange->Field("Expect-Instance");
  if (!expected.empty() && expected != this->name)
    return this->Reject(exchange, kMisdirected);
  this->ledger.Arrived(steady_clock::now(),
                       ArrivalOf(*exchange, this->name, this->service));
  if (this->calls.size() < kSlots) return this->Run(exchange);
  if (this->waiting.size() >= kMostWaiting)
    return this->Reject(exchange, kNotAvailable);
  const auto number = this->next_call++;
  this->waiting.emplace_back(number, exchange);
  exchange->WatchClose([this, number] { this->Forget(number); });
}

void SoakWorker::AddLoad(HttpAnswer& answer) const {
  answer.fields.emplace_back("Instance-Load",
                             std::to_string(this->calls.size()) + "," +
                                 std::to_string(this->waiting.size()) + "," +
                                 std::to_string(kSlots) + ",100");
}

void SoakWorker::AnswerHealth(const ExchangePointer& exchange) {
  HttpAnswer answer;
  if (this->is_draining) answer.status = kNotAvailable;
  answer.fields.emplace_back("Instance-Id", this->name);
  this->AddLoad(answer);
  exchange->Answer(std::move(answer));
}

void SoakWorker::Reject(const ExchangePointer& exchange, int status) {
  HttpAnswer answer;
  answer.status = status;
  answer.fields.emplace_back("Not-Executed", "1");
  answer.fields.emplace_back("Instance-Id", this->name);
  answer.fields.emplace_back("Request-Id", exchange->Field("Request-Id"));
  this->AddLoad(answer);
  exchange->Answer(std::move(answer));
}

std::chrono::nanoseconds SoakWorker::DrawTime(std::string_view target) {
  const bool is_long = target.find(kLongPart) != std::string_view::npos;
  const auto mean = is_long ? kLongTime : kMeanTime;
  std::uniform_real_distribution<double> factor(0.5, 1.5);
  return std::chrono::duration_cast<std::chrono::nanoseconds>(
      mean * factor(this->random) * this->faults.slowness);
}

void SoakWorker::Run(const ExchangePointer& exchange) {
  const auto now = steady_clock::now();
  const auto number = this->next_call++;
  auto call = std::make_unique<Call>(this->context, exchange);
  call->id = exchange->Field("Request-Id");
  const auto end = now + this->DrawTime(exchange->Target());
  this->ledger.RunBegun(now, ArrivalOf(*exchange, this->name, this->service),
                        end);
  if (exchange->Target().find(kPoisonPart) != std::string_view::npos) {
    this->ledger.WorkerCrashedBy(now, call->id);
    // Later, since the life's end closes the connection that is being read.
    boost::asio::post(this->context, [this] {
      if (this->on_crash && this->is_alive) this->on_crash();
    });
    return;
  }
  // Work stops at the time limit.
  const auto limit = std::min<std::chrono::nanoseconds>(
      TimeLeft(*exchange), kLongTime * kMostSlowness);
  call->is_cut = now + limit < end;
  call->timer.expires_at(std::min<kernel::Instant>(end, now + limit));
  call->timer.async_wait(
      [this, number](const boost::system::error_code& error) {
        if (!error) this->Finish(number);
      });
  this->calls.emplace(number, std::move(call));
  exchange->WatchClose([this, number] { this->Forget(number); });
}

void SoakWorker::Finish(std::uint64_t number) {
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) return;
  const ExchangePointer exchange = found->second->exchange;
  const int status = found->second->is_cut ? kTimedOut : kSuccess;
  this->ledger.RunEnded(steady_clock::now(), found->second->id, this->name);
  this->calls.erase(found);
  if (this->IsDrawn(this->faults.losing)) {
    exchange->Abandon();
  } else {
    exchange->Answer(this->MakeAnswer(*exchange, status));
  }
  this->RunWaiting();
}

// The caller has gone: its call is stopped and its slot is free.
void SoakWorker::Forget(std::uint64_t number) {
  std::erase_if(this->waiting,
                [number](const auto& entry) { return entry.first == number; });
  const auto found = this->calls.find(number);
  if (found == this->calls.end()) return;
  this->ledger.RunEnded(steady_clock::now(), found->second->id, this->name);
  this->calls.erase(found);
  this->RunWaiting();
}

void SoakWorker::RunWaiting() {
  while (this->is_alive && this->calls.size() < kSlots &&
         !this->waiting.empty()) {
    const auto exchange = this->waiting.front().second;
    this->waiting.pop_front();
    this->Run(exchange);
  }
}

bool SoakWorker::IsDrawn(double share) {
  return std::uniform_real_distribution<double>(0, 1)(this->random) < share;
}

HttpAnswer SoakWorker::MakeAnswer(const HttpExchange& exchange, int status) {
  const std::string id(exchange.Field("Request-Id"));
  HttpAnswer answer;
  answer.status = status;
  if (this->IsDrawn(this->faults.failing)) answer.status = kOwnError;
  AppendTokenBytes(this->random(), this->random() % kMostBodyBytes,
                   &answer.body);
  const std::string seal = this->name + "." + std::to_string(this->next_seal++);
  this->ledger.Sealed(id, seal, answer.status, answer.body);
  answer.fields.emplace_back("Request-Id", id);
  answer.fields.emplace_back("Response-Seal", seal);
  this->AddLoad(answer);
  answer.is_chunked = this->IsDrawn(0.5);
  answer.is_last = this->is_draining;
  if (this->IsDrawn(this->faults.breaking_off))
    answer.fault = AnswerFault::kTruncated;
  if (this->IsDrawn(this->faults.doubling))
    answer.fault = AnswerFault::kDoubled;
  return answer;
}

}  // namespace burdockwheel::stand_ins
