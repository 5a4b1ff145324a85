// Workers that refuse calls although their slots are free: when callers are
// told to return.
#include <boost/test/unit_test.hpp>
#include <string>
#include <vector>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const model::ServiceName kService{"lookup"};
constexpr int kWorkers = 4;
constexpr int kSlots = 6;

// Returns the times after which 50 callers are told to return, while workers
// that report `calls_in_flight` of six slots refuse every call.
std::vector<milliseconds> TimesToReturn(bool is_return_prompt,
                                        int calls_in_flight) {
  testing::EventLoop loop;
  auto settings = testing::MakeSettings(1);
  settings.is_return_prompt = is_return_prompt;
  testing::FakeHost host(loop, settings);
  model::ServiceDefinition service;
  service.name = kService;
  service.routing_policy = "expected-worth";
  service.kinds.emplace_back().name = "booking";
  model::WorkerReport report;
  report.calls_in_flight = calls_in_flight;
  report.slots = kSlots;
  host.on_start = [&loop, &host, report](const StartAttempt& attempt) {
    loop.ScheduleAt(loop.Now() + milliseconds(2), [&host, attempt, report] {
      auto refusal = testing::Failure(model::AttemptResult::kRefused);
      refusal.report = report;
      host.EndAttempt(attempt, refusal);
    });
  };
  host.Handle(ConfigurationAccepted{testing::MakeConfiguration(service)});
  host.Handle(testing::MakeWorkers(kService, kWorkers));
  std::vector<milliseconds> times;
  for (int count = 0; count < 50; ++count) {
    load::LoadDigest digest;
    for (int number = 0; number < kWorkers; ++number) {
      digest.push_back({load::HashOf({"worker-" + std::to_string(number)}),
                        report, milliseconds(5)});
    }
    host.Handle(PeerLoadReceived{digest});
    const auto call =
        host.Call({{}, kService, 0, loop.Now() + seconds(2), 0, 42});
    loop.RunFor(seconds(2));
    const auto* result = host.ResultOrNull(call);
    BOOST_REQUIRE(result != nullptr);
    BOOST_TEST((result->refusal.run_state == model::RunState::kNotRun));
    if (result->refusal.reason == model::RefusalReason::kOverloaded)
      times.push_back(result->refusal.retry_after);
  }
  BOOST_TEST(times.size() > 10U);
  return times;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(PromptReturnTest)

// Guards against callers that come back too late for their objectives although
// the workers had room all the time.
BOOST_AUTO_TEST_CASE(CallersReturnAtOnceWhereTheServiceHasRoom) {
  for (const auto time : TimesToReturn(true, 2))
    BOOST_TEST(time <= milliseconds(100));
}

BOOST_AUTO_TEST_CASE(CallersStayAwayWhereTheServiceIsFullOrNothingIsSet) {
  for (const auto time : TimesToReturn(true, kSlots))
    BOOST_TEST(time >= milliseconds(500));
  for (const auto time : TimesToReturn(false, 2))
    BOOST_TEST(time >= milliseconds(500));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
