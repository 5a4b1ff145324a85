// All workers of a service ask to be left alone: what callers are told.
#include <boost/test/unit_test.hpp>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::ServiceName kService{"bookings"};
constexpr int kWorkers = 3;
constexpr seconds kPause{4};

class PauseFixture {
 public:
  PauseFixture() : host(loop, testing::MakeSettings(1)) {
    model::ServiceDefinition service;
    service.name = kService;
    service.kinds.emplace_back().name = "booking";
    this->host.Handle(
        ConfigurationAccepted{testing::MakeConfiguration(service)});
    this->host.Handle(testing::MakeWorkers(kService, kWorkers));
    this->loop.RunFor(std::chrono::minutes(5));
  }

  model::CallId Call() {
    return this->host.Call(
        {{}, kService, 0, this->loop.Now() + seconds(2), 0, 42});
  }

  // The answers to probes say that the workers want nothing for `pause`.
  void PauseAll(milliseconds pause) {
    for (int number = 0; number < kWorkers; ++number) {
      this->host.Handle(WorkerNoticed{
          {"worker-" + std::to_string(number)}, kService, {.pause = pause}});
    }
  }

  testing::EventLoop loop;
  testing::FakeHost host;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(WorkerPauseTest, PauseFixture)

BOOST_AUTO_TEST_CASE(CallsAreRefusedAtOnceWithTheTimeUntilThePauseEnds) {
  this->PauseAll(kPause);
  std::vector<milliseconds> times;
  for (int count = 0; count < 50; ++count) {
    const auto call = this->Call();
    const auto* result = this->host.ResultOrNull(call);
    BOOST_REQUIRE(result != nullptr);
    BOOST_TEST((result->refusal.run_state == model::RunState::kNotRun));
    BOOST_TEST((result->at == this->loop.Now()));
    times.push_back(result->refusal.retry_after);
  }
  BOOST_TEST(this->host.started.empty());
  const auto [least, most] = std::ranges::minmax(times);
  // Nothing can run sooner, and the callers must not return at the same time.
  BOOST_TEST((least >= kPause));
  BOOST_TEST((most <= kPause + milliseconds(1500)));
  BOOST_TEST((most - least >= milliseconds(500)));
}

BOOST_AUTO_TEST_CASE(CallsThatWaitAreRefusedWhenAllWorkersPause) {
  // Fills the workers, so that one call waits.
  model::CallId last;
  for (int count = 0; count < 100; ++count) last = this->Call();
  BOOST_REQUIRE(this->host.ResultOrNull(last) == nullptr);
  this->PauseAll(kPause);
  // An attempt that ends gives the queue a look.
  this->host.EndAttempt(StartAttempt(this->host.started.front()),
                        testing::Answer());
  const auto* result = this->host.ResultOrNull(last);
  BOOST_REQUIRE(result != nullptr);
  BOOST_TEST((result->refusal.run_state == model::RunState::kNotRun));
  BOOST_TEST((result->refusal.retry_after >= kPause));
}

BOOST_AUTO_TEST_CASE(CallsWaitForAPauseThatEndsSoon) {
  this->PauseAll(milliseconds(50));
  const auto call = this->Call();
  BOOST_TEST(this->host.ResultOrNull(call) == nullptr);
  this->loop.RunFor(milliseconds(100));
  BOOST_TEST(this->host.started.size() == 1U);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
