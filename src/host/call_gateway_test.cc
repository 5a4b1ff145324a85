#include "host/call_gateway.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <memory>
#include <string>
#include <utility>

#include "configuration/configuration_parser.h"
#include "http/deadline_queue.h"
#include "http/worker_pool.h"

namespace burdockwheel::host {

namespace {

constexpr const char* kDocument = R"({"version": 1, "most_entry_hosts": 5,
  "services": [{"service": "bookings", "calls": [
    {"name": "book", "method": "POST", "path": "/bookings",
     "idempotent": false}]}]})";

// A gateway without workers or peers.
class GatewayFixture {
 public:
  GatewayFixture()
      : deadlines(this->context),
        pool(this->context, this->deadlines, http::DefaultMessageConventions(),
             http::WorkerPoolLimits()),
        executor(this->context, engine::EngineSettings(), this->pool,
                 http::DefaultMessageConventions(), this->metrics,
                 this->journal, {}),
        gateway("Authorization", http::DefaultMessageConventions(),
                this->resolver, this->executor, this->journal, this->Hooks()) {}

  CallGateway::Hooks Hooks() {
    CallGateway::Hooks hooks;
    hooks.issue_key = [](const auto& on_complete) { on_complete("fresh"); };
    hooks.run_keyed_call = [this](KeyedCall call, const CallCompletion&) {
      this->keyed_calls.push_back(std::move(call));
    };
    return hooks;
  }

  void TakeConfiguration() {
    auto parsed = configuration::ParseFleetConfiguration(kDocument);
    BOOST_REQUIRE(parsed.HasValue());
    this->resolver.SetConfiguration(std::make_shared<ConfigurationInForce>(
        std::make_shared<const model::FleetConfiguration>(
            std::move(parsed).Value())));
    this->resolver.SetSound(true);
  }

  http::Answer Call(std::vector<http::Header> headers) {
    http::Answer answer;
    const auto exchange = std::make_shared<http::Exchange>(
        http::Request{"POST", "/bookings", std::move(headers), "body"},
        [&answer](http::Answer given) { answer = std::move(given); });
    this->gateway.Handle(exchange);
    return answer;
  }

  boost::asio::io_context context;
  http::DeadlineQueue deadlines;
  http::WorkerPool pool;
  ServingMetrics metrics;
  CallJournal journal{100};
  CallResolver resolver{model::HostId{"host-1"},
                        http::DefaultMessageConventions(), 1};
  CallExecutor executor;
  std::vector<KeyedCall> keyed_calls;
  CallGateway gateway;
};

std::string RunStateOf(const http::Answer& answer) {
  const auto* run = http::HeaderOrNull(answer.headers, "Burdockwheel-Run");
  return run == nullptr ? "" : *run;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(CallGatewayTest, GatewayFixture)

// An earlier send of the same key may have run through another host.
BOOST_AUTO_TEST_CASE(DoesNotSayNotRunOfAKeyThatItsIssuerWasNotAskedAbout) {
  const auto answer = this->Call({{"Idempotency-Key", "key"}});
  BOOST_TEST(answer.status == 503);
  BOOST_TEST(RunStateOf(answer) == "unknown");
}

BOOST_AUTO_TEST_CASE(SaysNotRunOfACallWithoutKeyThatItRefuses) {
  BOOST_TEST(RunStateOf(this->Call({})) == "not-run");
}

BOOST_AUTO_TEST_CASE(GivesAFreshKeyWhereOneIsRequired) {
  this->TakeConfiguration();
  const auto answer = this->Call({});
  BOOST_TEST(answer.status == 400);
  const auto* key = http::HeaderOrNull(answer.headers, "Idempotency-Key");
  BOOST_REQUIRE(key != nullptr);
  BOOST_TEST(*key == "fresh");
}

BOOST_AUTO_TEST_CASE(HandsAKeyedCallToItsIssuerAsItCame) {
  this->TakeConfiguration();
  this->Call({{"Idempotency-Key", "key"}, {"Authorization", "caller-1"}});
  BOOST_REQUIRE(this->keyed_calls.size() == 1U);
  BOOST_TEST(this->keyed_calls[0].key == "key");
  BOOST_TEST(this->keyed_calls[0].caller == "caller-1");
  BOOST_TEST(this->keyed_calls[0].request.body == "body");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::host
