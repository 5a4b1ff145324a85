#include "stand_ins/soak/soak_callers.h"

#include <algorithm>
#include <utility>

#include "stand_ins/common/token_bytes.h"
#include "stand_ins/soak/soak_connection.h"
#include "stand_ins/soak/soak_worker.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr std::size_t kCallersPerHost = 6;
constexpr milliseconds kAskInterval{500};
constexpr milliseconds kAskTimeout{400};
constexpr int kMissesUntilOut = 2;
constexpr milliseconds kPatience{2000};
// A caller gives up its own wait this much later, so that late answers are
// seen.
constexpr milliseconds kWatchSlack{1500};
constexpr milliseconds kResendGap{300};
constexpr double kBookShare = 0.3;
constexpr double kMoveShare = 0.3;
constexpr double kLongShare = 0.04;  // of reads; half of their callers leave
constexpr std::size_t kMostBodyBytes = 3000;

std::string RequestText(const SoakRequest& request) {
  std::string text = request.body.empty() ? "GET " : "POST ";
  text += request.target +
          " HTTP/1.1\r\nHost: soak.example\r\nRequest-Id: " + request.id +
          "\r\nDeadline-Ms: " + std::to_string(request.patience.count()) +
          "\r\n";
  if (!request.body.empty())
    text += "Content-Length: " + std::to_string(request.body.size()) + "\r\n";
  return text + "\r\n" + request.body;
}

}  // namespace

struct SoakCallers::Caller {
  explicit Caller(boost::asio::io_context& context) : timer(context) {}

  boost::asio::steady_timer timer;
  std::shared_ptr<SoakConnection> connection;
  std::size_t host = 0;
};

SoakCallers::SoakCallers(SoakSystem& system, double calls_per_second,
                         std::uint64_t seed)
    : system(system),
      random(seed),
      misses(system.Hosts().size(), kMissesUntilOut),
      ask_timer(system.Context()) {
  const std::size_t count = kCallersPerHost * system.Hosts().size();
  this->mean_gap = std::chrono::duration<double>(static_cast<double>(count) /
                                                 calls_per_second);
  for (std::size_t each = 0; each < count; ++each)
    this->callers.push_back(std::make_unique<Caller>(system.Context()));
}

SoakCallers::~SoakCallers() = default;

void SoakCallers::AskReadiness() {
  for (std::size_t host = 0; host < this->misses.size(); ++host)
    this->Ask(host);
  this->ask_timer.expires_after(kAskInterval);
  this->ask_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->AskReadiness();
  });
}

void SoakCallers::Ask(std::size_t host) {
  const auto connection = std::make_shared<SoakConnection>(
      this->system.Context(), this->system.Hosts()[host].admin_address);
  connection->Send(
      "GET /ready HTTP/1.1\r\nHost: soak\r\n"
      "Connection: close\r\n\r\n",
      kAskTimeout, [this, host](SoakSendResult, const SoakAnswer& answer) {
        constexpr int kReady = 200;
        this->misses[host] =
            answer.status == kReady ? 0 : this->misses[host] + 1;
      });
}

bool SoakCallers::AreAllReady() const {
  return std::ranges::all_of(this->misses,
                             [](int missed) { return missed == 0; });
}

// Fewer than half in rotation: all are used.
std::size_t SoakCallers::PickHost() {
  std::vector<std::size_t> picked;
  for (std::size_t host = 0; host < this->misses.size(); ++host) {
    if (this->misses[host] < kMissesUntilOut) picked.push_back(host);
  }
  if (2 * picked.size() < this->misses.size())
    return this->random() % this->misses.size();
  return picked[this->random() % picked.size()];
}

void SoakCallers::Start() {
  for (const auto& caller : this->callers) this->Think(*caller);
}

void SoakCallers::Think(Caller& caller) {
  if (this->is_stopped) return;
  std::exponential_distribution<double> gap(1 / this->mean_gap.count());
  caller.timer.expires_after(
      std::chrono::duration_cast<std::chrono::nanoseconds>(
          std::chrono::duration<double>(gap(this->random))));
  caller.timer.async_wait(
      [this, &caller](const boost::system::error_code& error) {
        if (!error) this->Call(caller);
      });
}

SoakRequest SoakCallers::DrawRequest() {
  SoakRequest request;
  const auto number = this->next_request++;
  request.id = FormatToken(this->random());
  request.timeout = SoakSystem::kRouteTimeout;
  request.patience = kPatience;
  request.attempts = SoakSystem::kAttempts;
  const double drawn =
      std::uniform_real_distribution<double>(0, 1)(this->random);
  std::string_view route = SoakSystem::kReadRoute;
  if (drawn < kBookShare) route = SoakSystem::kBookRoute;
  if (drawn >= kBookShare && drawn < kBookShare + kMoveShare)
    route = SoakSystem::kMoveRoute;
  request.route = route;
  request.is_idempotent = route != SoakSystem::kBookRoute;
  const bool is_long = drawn > 1 - kLongShare;
  request.target = "/" + request.route +
                   (is_long ? std::string(SoakWorker::kLongPart) : "/") +
                   std::to_string(number);
  if (!request.is_idempotent)
    AppendTokenBytes(number, 1 + this->random() % kMostBodyBytes,
                     &request.body);
  return request;
}

void SoakCallers::Call(Caller& caller) {
  if (this->is_stopped) return;
  auto request = this->DrawRequest();
  if (!caller.connection || !caller.connection->IsKept()) {
    caller.host = this->PickHost();
    caller.connection = std::make_shared<SoakConnection>(
        this->system.Context(),
        this->system.Hosts()[caller.host].caller_address);
  }
  request.host = caller.host;
  this->Send(caller.connection, request,
             [this, &caller] { this->Think(caller); });
  const bool is_long =
      request.target.find(SoakWorker::kLongPart) != std::string::npos;
  if (!is_long || this->random() % 2 == 0) return;
  // The caller leaves; the next call takes another connection.
  const auto timer =
      std::make_shared<boost::asio::steady_timer>(this->system.Context());
  timer->expires_after(milliseconds(100 + this->random() % 200));
  timer->async_wait([this, timer, &caller, id = request.id,
                     connection = caller.connection](const auto& error) {
    if (error || !connection->IsKept() || caller.connection != connection ||
        !this->system.Ledger().IsOpen(id))
      return;
    connection->Close();
    this->system.Ledger().Left(steady_clock::now(), id);
    this->Think(caller);
  });
}

void SoakCallers::Send(const std::shared_ptr<SoakConnection>& connection,
                       const SoakRequest& request,
                       std::function<void()> on_ended) {
  this->system.Ledger().Sent(steady_clock::now(), request);
  connection->Send(RequestText(request), request.patience + kWatchSlack,
                   [this, request, on_ended = std::move(on_ended)](
                       SoakSendResult result, const SoakAnswer& answer) {
                     auto& ledger = this->system.Ledger();
                     const auto now = steady_clock::now();
                     switch (result) {
                       case SoakSendResult::kAnswered:
                         ledger.Answered(now, request.id, answer);
                         break;
                       case SoakSendResult::kMalformed:
                         ledger.Malformed(now, request.id);
                         break;
                       case SoakSendResult::kClosed:
                       case SoakSendResult::kNoConnection:
                       case SoakSendResult::kTimedOut:
                         ledger.Closed(now, request.id);
                         break;
                     }
                     on_ended();
                   });
}

void SoakCallers::SendPoisoned(int times) {
  const auto number = this->next_poison++;
  this->Resend("/" + std::string(SoakSystem::kReadRoute) +
                   std::string(SoakWorker::kPoisonPart) +
                   std::to_string(number),
               times);
}

void SoakCallers::Resend(const std::string& target, int times) {
  if (times == 0 || this->is_stopped) return;
  auto request = this->DrawRequest();
  request.route = SoakSystem::kReadRoute;
  request.is_idempotent = true;
  request.body.clear();
  request.target = target;
  request.host = this->PickHost();
  const auto connection = std::make_shared<SoakConnection>(
      this->system.Context(),
      this->system.Hosts()[request.host].caller_address);
  this->Send(connection, request, [this, target, times] {
    const auto timer =
        std::make_shared<boost::asio::steady_timer>(this->system.Context());
    timer->expires_after(kResendGap);
    timer->async_wait([this, timer, target, times](const auto& error) {
      if (!error) this->Resend(target, times - 1);
    });
  });
}

}  // namespace burdockwheel::stand_ins
