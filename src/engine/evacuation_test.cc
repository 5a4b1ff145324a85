// Failure domains that the operators evacuate: where calls and probes go.
#include <boost/test/unit_test.hpp>
#include <set>
#include <string>
#include <variant>
#include <vector>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::ServiceName kService{"bookings"};
constexpr std::size_t kRead = 0;
constexpr std::size_t kBooking = 1;
constexpr int kWorkersOfDomain = 3;

// Three workers in each of the domains "a" (the host's own), "b" and "c". Calls
// take 10 ms unless the test says otherwise.
class EvacuationFixture {
 public:
  EvacuationFixture() : host(loop, Settings()) {
    model::ServiceDefinition service;
    service.name = kService;
    service.routing_policy = "expected-worth";
    auto& read = service.kinds.emplace_back();
    read.name = "read";
    read.is_idempotent = true;
    service.kinds.emplace_back().name = "booking";
    this->host.on_handled = [this](const Event&, const Actions& actions) {
      for (const auto& action : actions) {
        const auto* probe = std::get_if<SendProbe>(&action);
        if (probe != nullptr) this->probed.insert(DomainOf(probe->worker));
      }
    };
    this->host.on_start = [this](const StartAttempt& attempt) {
      this->used.insert(DomainOf(attempt.worker));
      if (this->are_answers_held) return;
      this->loop.ScheduleAt(
          this->loop.Now() + milliseconds(10), [this, attempt] {
            this->host.EndAttempt(attempt,
                                  this->failure.value_or(testing::Answer()));
          });
    };
    this->host.Handle(
        ConfigurationAccepted{testing::MakeConfiguration(service)});
    this->List({});
    this->Run(seconds(5));
  }

  static EngineSettings Settings() {
    auto settings = testing::MakeSettings(1);
    settings.load_watch = {settings.failure_domain, {7}, milliseconds(100)};
    settings.load_watch.join_time = milliseconds(0);
    return settings;
  }

  static std::string DomainOf(const model::WorkerId& worker) {
    return worker.value.substr(0, 1);
  }

  // Lists the workers while these domains are evacuated.
  void List(const std::set<std::string>& evacuated) {
    WorkersListed event;
    for (const std::string domain : {"a", "b", "c"}) {
      for (int number = 0; number < kWorkersOfDomain; ++number) {
        model::WorkerRecord record;
        record.id.value = domain + "-" + std::to_string(number);
        record.service = kService;
        record.failure_domain.value = domain;
        record.is_evacuated = evacuated.contains(domain);
        event.workers.push_back(std::move(record));
      }
    }
    this->host.Handle(event);
    this->used.clear();
    this->probed.clear();
  }

  model::CallId Call(std::size_t kind) {
    return this->host.Call(
        {{}, kService, kind, this->loop.Now() + seconds(2), 0, 42});
  }

  // Sends calls of both kinds for a while.
  void Run(std::chrono::nanoseconds time) {
    for (const auto end = this->loop.Now() + time; this->loop.Now() < end;) {
      this->Call(kRead);
      this->Call(kBooking);
      this->loop.RunFor(milliseconds(20));
    }
  }

  testing::EventLoop loop;
  testing::FakeHost host;
  std::set<std::string> used;    // domains that got an attempt
  std::set<std::string> probed;  // and those that got a probe
  bool are_answers_held = false;
  std::optional<model::AttemptOutcome> failure;  // of each attempt
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(EvacuationTest, EvacuationFixture)

BOOST_AUTO_TEST_CASE(NothingIsSentToAnEvacuatedDomain) {
  const std::set<std::string> all = {"a", "b", "c"};
  this->List({"a"});
  this->Run(seconds(20));
  BOOST_TEST(this->used.contains("b"));
  BOOST_TEST(!this->used.contains("a"));
  BOOST_TEST(!this->probed.contains("a"));
  // Another domain, overlapping with the first.
  this->List({"a", "b"});
  this->Run(seconds(20));
  BOOST_TEST((this->used == std::set<std::string>{"c"}));
  BOOST_TEST(!this->probed.contains("a"));
  BOOST_TEST(!this->probed.contains("b"));
  this->List({});
  this->Run(seconds(20));
  BOOST_TEST(this->used.contains("a"));
  BOOST_TEST((this->probed == all));
}

BOOST_AUTO_TEST_CASE(CallsAreRefusedAtOnceWhereNoOtherDomainIsLeft) {
  this->List({"a", "b", "c"});
  for (const auto kind : {kRead, kBooking}) {
    const auto call = this->Call(kind);
    const auto* result = this->host.ResultOrNull(call);
    BOOST_REQUIRE(result != nullptr);
    BOOST_TEST((result->refusal.reason == model::RefusalReason::kEvacuated));
    BOOST_TEST((result->refusal.run_state == model::RunState::kNotRun));
    BOOST_TEST(result->refusal.retry_after.count() > 0);
    BOOST_TEST((result->at == this->loop.Now()));
  }
  BOOST_TEST(this->used.empty());
}

// Guards against calls that wait for a worker until their deadline although
// none will come.
BOOST_AUTO_TEST_CASE(WaitingCallsAreRefusedOnceTheLastDomainIsEvacuated) {
  this->are_answers_held = true;
  constexpr std::size_t kCalls = 200;
  std::vector<model::CallId> calls;
  calls.reserve(kCalls);
  while (calls.size() < kCalls) calls.push_back(this->Call(kRead));
  const auto sent = this->host.started.size();
  this->List({"a", "b", "c"});
  std::size_t refused = 0;
  for (const auto call : calls) {
    const auto* result = this->host.ResultOrNull(call);
    if (result == nullptr) continue;
    if (result->refusal.reason == model::RefusalReason::kEvacuated) ++refused;
  }
  BOOST_TEST(refused > 0U);
  BOOST_TEST(this->host.started.size() == sent);
  this->loop.RunFor(seconds(3));
  BOOST_TEST(this->used.empty());
}

// A call that was sent before the evacuation ends where it is, but is tried
// again elsewhere only.
BOOST_AUTO_TEST_CASE(FurtherAttemptsLeaveTheDomainToo) {
  this->failure = testing::Failure(model::AttemptResult::kRefused);
  const auto call = this->Call(kBooking);
  BOOST_TEST(this->host.ResultOrNull(call) == nullptr);
  this->List({"a"});
  this->Run(seconds(1));
  BOOST_TEST(!this->used.contains("a"));
  BOOST_TEST(this->used.contains("b"));
}

// Guards against a worker that joins, leaves or moves while its domain is
// evacuated being taken for one that may be used.
BOOST_AUTO_TEST_CASE(AWorkerThatJoinsAnEvacuatedDomainGetsNothing) {
  WorkersListed event;
  for (const std::string name : {"a-9", "b-0"}) {
    model::WorkerRecord record;
    record.id.value = name;
    record.service = kService;
    record.failure_domain.value = name.substr(0, 1);
    record.is_evacuated = name == "a-9";
    event.workers.push_back(std::move(record));
  }
  this->host.Handle(event);
  this->used.clear();
  this->probed.clear();
  this->Run(seconds(20));
  BOOST_TEST((this->used == std::set<std::string>{"b"}));
  BOOST_TEST(!this->probed.contains("a"));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
