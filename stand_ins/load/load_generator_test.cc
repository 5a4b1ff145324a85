#include "stand_ins/load/load_generator.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <thread>
#include <vector>

#include "stand_ins/common/http_exchange.h"
#include "stand_ins/common/http_server.h"
#include "stand_ins/common/token_bytes.h"
#include "stand_ins/load/arrival_schedule.h"

namespace burdockwheel::stand_ins {
namespace {

using std::chrono::milliseconds;

constexpr milliseconds kStall{300};
constexpr milliseconds kLength{600};
constexpr double kRate = 200;

// A server that answers nothing for kStall after its first request.
class StallingServer {
 public:
  explicit StallingServer(std::uint64_t token_error)
      : token_error(token_error),
        server(this->context, [this](const auto& exchange) {
          if (this->is_stall_over) return this->Answer(*exchange);
          this->held.push_back(exchange);
          if (this->held.size() == 1) this->Stall();
        }) {
    const auto port = this->server.TryListen("127.0.0.1:0");
    BOOST_TEST_REQUIRE(port.HasValue());
    this->address = "127.0.0.1:" + std::to_string(port.Value());
    this->thread = std::thread([this] { this->context.run(); });
  }
  StallingServer(const StallingServer&) = delete;
  StallingServer& operator=(const StallingServer&) = delete;
  ~StallingServer() {
    this->context.stop();
    this->thread.join();
  }

  const std::string& Address() const { return this->address; }

 private:
  void Stall() {
    this->timer.expires_after(kStall);
    this->timer.async_wait([this](boost::system::error_code) {
      this->is_stall_over = true;
      for (const auto& exchange : this->held) this->Answer(*exchange);
      this->held.clear();
    });
  }

  void Answer(HttpExchange& exchange) const {
    const auto token = ParseTokenOrNull(exchange.Field(kEchoTokenField));
    HttpAnswer answer;
    answer.fields.emplace_back(kEchoTokenField, FormatToken(token.value()));
    AppendTokenBytes(token.value() + this->token_error, 100, &answer.body);
    exchange.Answer(std::move(answer));
  }

  std::uint64_t token_error;
  boost::asio::io_context context{1};
  boost::asio::steady_timer timer{this->context};
  std::vector<std::shared_ptr<HttpExchange>> held;
  bool is_stall_over = false;
  HttpServer server;
  std::string address;
  std::thread thread;
};

LoadPlan PlanFor(const StallingServer& server) {
  LoadPlan plan;
  plan.mode = LoadMode::kDirect;
  plan.rate = kRate;
  plan.length = kLength;
  plan.connections_per_target = 1;
  plan.workers = {{server.Address(), ""}};
  LoadKind kind;
  kind.name = "read";
  // Longer than any stall of the machine that runs the test.
  kind.timeout = std::chrono::minutes(1);
  plan.kinds = {kind};
  return plan;
}

std::int64_t ArrivalsOf(const LoadPlan& plan) {
  ArrivalSchedule schedule(
      plan.rate, {1}, static_cast<std::size_t>(plan.callers), plan.seed * 1000);
  std::int64_t arrivals = 0;
  while (schedule.Next().time < plan.length) ++arrivals;
  return arrivals;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(LoadGenerator)

// A generator that waited for answers before it sent again would have one slow
// call; counted from the intended times, a third of the calls wait 100 ms or
// more.
BOOST_AUTO_TEST_CASE(CountsWaitingTimeFromTheIntendedSendTime) {
  const StallingServer server(0);
  const LoadPlan plan = PlanFor(server);
  const LoadReport report = RunLoad(plan);
  const KindReport& kind = report.kinds.at(0);
  BOOST_TEST(kind.ok.Count() == ArrivalsOf(plan));
  BOOST_TEST((kind.ok.Quantile(0.75) >= milliseconds(100)));
  BOOST_TEST(report.foreign_answers == 0);
  BOOST_TEST(report.connections_opened == 1);
}

BOOST_AUTO_TEST_CASE(ReportsAnswersThatBelongToAnotherCall) {
  const StallingServer server(1);
  const LoadPlan plan = PlanFor(server);
  const LoadReport report = RunLoad(plan);
  BOOST_TEST(report.foreign_answers == ArrivalsOf(plan));
  BOOST_TEST(report.kinds.at(0).ok.Count() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::stand_ins
