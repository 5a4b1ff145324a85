// Prints the processor time that the engine takes for one call, without a
// bound, and checks how the time of a configuration update grows.
#include <boost/test/unit_test.hpp>
#include <ctime>
#include <string>
#include <vector>

#include "engine/call_engine.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

using std::chrono::microseconds;
using std::chrono::milliseconds;

namespace {

const model::ServiceName kService{"lookups"};
constexpr int kCalls = 100'000;
constexpr std::size_t kInFlight = 10;

// Runs calls at 20,000 a second, each answered ten arrivals later.
class CostBenchmark {
 public:
  explicit CostBenchmark(int workers) : engine(testing::MakeSettings(1)) {
    model::ServiceDefinition service;
    service.name = kService;
    service.kinds.emplace_back();
    service.kinds[0].is_idempotent = true;
    service.kinds[0].hedge_after = milliseconds(50);
    this->Handle(ConfigurationAccepted{testing::MakeConfiguration(service)});
    this->Handle(testing::MakeWorkers(kService, workers));
    this->now += std::chrono::minutes(5);
  }

  // Returns microseconds of processor time for each call.
  double Run() {
    const std::clock_t begin = std::clock();
    for (int call = 1; call <= kCalls; ++call) {
      this->now += microseconds(50);
      const auto id = static_cast<std::uint64_t>(call);
      this->Handle(CallArrived{
          {id}, kService, 0, this->now + milliseconds(1000), 0, id});
      if (this->running.size() < kInFlight) continue;
      this->EndOldest();
    }
    const double seconds =
        static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    return seconds * 1e6 / kCalls;
  }

  int Answered() const { return this->answered; }

 private:
  void Handle(const Event& event) {
    this->actions.clear();
    this->engine.Handle(this->now, event, this->actions);
    for (const Action& action : this->actions) {
      if (std::holds_alternative<RelayAnswer>(action)) this->answered += 1;
      if (const auto* start = std::get_if<StartAttempt>(&action))
        this->running.push_back(*start);
    }
  }

  void EndOldest() {
    const StartAttempt oldest = this->running.front();
    this->running.erase(this->running.begin());
    this->Handle(AttemptEnded{oldest.call, oldest.attempt,
                              testing::Answer(200, microseconds(500))});
  }

  CallEngine engine;
  kernel::Instant now{std::chrono::hours(1)};
  Actions actions;
  std::vector<StartAttempt> running;
  int answered = 0;
};

// Returns the processor time in seconds, the minimum of several trials, that a
// service with `kinds` kinds takes to accept a configuration that changes none.
double SecondsToUpdate(int kinds) {
  constexpr int kTrials = 5;
  model::ServiceDefinition service;
  service.name = kService;
  for (int kind = 0; kind < kinds; ++kind)
    service.kinds.emplace_back().name = "kind-" + std::to_string(kind);
  const auto configuration = testing::MakeConfiguration(service);
  CallEngine engine(testing::MakeSettings(1));
  Actions actions;
  double min_seconds = 0;
  for (int trial = 0; trial <= kTrials; ++trial) {
    const std::clock_t begin = std::clock();
    engine.Handle(kernel::Instant(std::chrono::hours(1)),
                  ConfigurationAccepted{configuration}, actions);
    const double seconds =
        static_cast<double>(std::clock() - begin) / CLOCKS_PER_SEC;
    // The first trial creates the kinds, so it is not counted.
    if (trial == 1 || (trial > 1 && seconds < min_seconds))
      min_seconds = seconds;
  }
  return min_seconds;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(EngineCostTest)

// Each route is a kind of each service that it leads to, so there can be many
// kinds, and configurations can arrive in quick succession.
BOOST_AUTO_TEST_CASE(ConfigurationUpdateTimeIsLinearInTheNumberOfKinds) {
  const double few = SecondsToUpdate(1000);
  const double many = SecondsToUpdate(8000);
  BOOST_TEST_MESSAGE("1,000 kinds: " << few << " s, 8,000: " << many << " s");
  // Eight times as many kinds; quadratic growth would take 64 times as long.
  BOOST_TEST(many <= 24 * few);
}

BOOST_AUTO_TEST_CASE(PrintsTheProcessorTimeOfEachCall) {
  for (const int workers : {6, 20}) {
    CostBenchmark run(workers);
    const double cost = run.Run();
    BOOST_TEST_MESSAGE("cost workers=" << workers << " us_per_call=" << cost);
    BOOST_TEST(run.Answered() > kCalls * 0.99);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
