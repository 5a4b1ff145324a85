// Checks how far retries and hedges multiply the attempts over six levels of
// calls when the service at the bottom fails.
#include <array>
#include <boost/test/unit_test.hpp>
#include <random>
#include <string>
#include <unordered_map>
#include <unordered_set>

#include "engine/testing/event_loop.h"
#include "engine/testing/fake_host.h"

namespace burdockwheel::engine {

using model::AttemptResult;
using std::chrono::milliseconds;
using testing::Answer;
using testing::EventLoop;
using testing::Failure;
using testing::FakeHost;

namespace {

constexpr int kLevels = 6;
constexpr int kWorkers = 10;

// How a worker answers when its own call to the next level has failed.
enum class FailurePropagation {
  kPlainError,      // 500, from an application unaware of the load balancer
  kRetryForbidden,  // the load balancer's own answer, which forbids retries
  // The worst case: the worker claims that the call did not run, although it
  // passed the call down, and does not forbid retries.
  kFalselyNotRun,
};

struct Outage {
  const char* name;
  AttemptResult result;  // of attempts at the bottom; kAnswered: status 500
  FailurePropagation propagation;
  double failing_share = 1;  // of the attempts at the bottom that fail
};

model::ServiceName LevelName(int level) {
  return {"level-" + std::to_string(level)};
}

// Simulates one host with a service for each level. The workers of each level
// call the service of the next.
class ServiceChain {
 public:
  ServiceChain(const Outage& outage, const Protections& protections)
      : outage(outage), host(loop, Settings(protections)) {
    auto configuration = std::make_shared<model::FleetConfiguration>();
    WorkersListed listed;
    for (int level = 0; level < kLevels; ++level) {
      model::ServiceDefinition service;
      service.name = LevelName(level);
      service.worker_slots = 500;
      service.worker_connections = 500 * 19;
      service.kinds.emplace_back();
      service.kinds[0].name = "read";
      service.kinds[0].is_idempotent = true;
      service.kinds[0].hedge_after = milliseconds(100);
      configuration->services.push_back(service);
      const auto workers = testing::MakeWorkers(service.name, kWorkers).workers;
      for (auto worker : workers) {
        worker.id.value = std::to_string(level) + worker.id.value;
        listed.workers.push_back(worker);
      }
    }
    this->host.on_start = [this](const StartAttempt& attempt) {
      this->loop.ScheduleAfter(milliseconds(1),
                               [this, attempt] { this->Run(attempt); });
    };
    this->host.Handle(ConfigurationAccepted{configuration});
    this->host.Handle(listed);
  }

  // Sends a call every 2 ms and returns the number of attempts at the bottom
  // level per call that reached it.
  double Amplification(int calls, bool is_outage) {
    this->is_outage = is_outage;
    this->bottom_attempts = 0;
    this->calls_at_bottom.clear();
    for (int call = 0; call < calls; ++call) {
      this->Call(0, call, this->loop.Now() + milliseconds(1000), nullptr);
      this->loop.RunFor(milliseconds(2));
    }
    this->loop.RunFor(std::chrono::seconds(3));
    return static_cast<double>(this->bottom_attempts) /
           static_cast<double>(this->calls_at_bottom.size());
  }

  // Returns how many calls reached the bottom level at least once.
  std::size_t CallsThatReachedBottom() const {
    return this->calls_at_bottom.size();
  }

 private:
  static EngineSettings Settings(const Protections& protections) {
    auto settings = testing::MakeSettings(5);
    settings.protections = protections;
    return settings;
  }

  // `root_call` is the number of the external call that this call belongs to.
  void Call(int level, int root_call, kernel::Instant deadline,
            FakeHost::OnCallResult on_result) {
    this->root_calls[this->host.NextCall()] = root_call;
    this->host.Call({{}, LevelName(level), 0, deadline, level, this->random()},
                    std::move(on_result));
  }

  void Run(const StartAttempt& attempt) {
    const int root_call = this->root_calls[attempt.call];
    const int level = attempt.worker.value[0] - '0';
    if (level == kLevels - 1) {
      this->calls_at_bottom.insert(root_call);
      this->RunAtBottom(attempt);
      return;
    }
    this->Call(level + 1, root_call, attempt.deadline,
               [this, attempt](auto, const FakeHost::CallResult& call_result) {
                 const bool is_success =
                     call_result.relayed && call_result.status == 200;
                 this->host.EndAttempt(
                     attempt,
                     is_success ? Answer() : this->PropagatedFailure());
               });
  }

  void RunAtBottom(const StartAttempt& attempt) {
    this->bottom_attempts += 1;
    const bool fails = this->is_outage &&
                       std::uniform_real_distribution<>(0, 1)(this->random) <
                           this->outage.failing_share;
    if (!fails) {
      this->host.EndAttempt(attempt, Answer());
      return;
    }
    // A worker that hangs does not answer; the deadline ends the attempt.
    if (this->outage.result == AttemptResult::kTimedOut) return;
    const bool is_answer = this->outage.result == AttemptResult::kAnswered;
    this->host.EndAttempt(
        attempt, is_answer ? Answer(500) : Failure(this->outage.result));
  }

  model::AttemptOutcome PropagatedFailure() const {
    if (this->outage.propagation == FailurePropagation::kPlainError)
      return Answer(500);
    if (this->outage.propagation == FailurePropagation::kFalselyNotRun)
      return Failure(AttemptResult::kRefused);
    auto answer = Answer(503);
    answer.is_retry_forbidden = true;
    return answer;
  }

  Outage outage;
  EventLoop loop;
  FakeHost host;
  std::mt19937_64 random{3};
  bool is_outage = false;
  int bottom_attempts = 0;
  std::unordered_map<model::CallId, int> root_calls;
  std::unordered_set<int> calls_at_bottom;
};

double Measure(const Outage& outage, const Protections& protections,
               int calls) {
  ServiceChain levels(outage, protections);
  levels.Amplification(400, false);  // fills the retry budgets
  const double amplification = levels.Amplification(calls, true);
  BOOST_TEST_MESSAGE("amplification "
                     << outage.name << " failing share=" << outage.failing_share
                     << " calls=" << calls
                     << " arrived=" << levels.CallsThatReachedBottom()
                     << " at the bottom=" << amplification);
  return amplification;
}

constexpr std::array<Outage, 7> kOutages{{
    {"refused-connections/plain", AttemptResult::kNotSent,
     FailurePropagation::kPlainError},
    {"refused-connections/marked", AttemptResult::kNotSent,
     FailurePropagation::kRetryForbidden},
    {"refused-connections/refusal", AttemptResult::kNotSent,
     FailurePropagation::kFalselyNotRun},
    {"errors/plain", AttemptResult::kAnswered, FailurePropagation::kPlainError},
    {"broken/plain", AttemptResult::kBroken, FailurePropagation::kPlainError},
    {"hanging/plain", AttemptResult::kTimedOut,
     FailurePropagation::kPlainError},
    {"refusals/refusal", AttemptResult::kRefused,
     FailurePropagation::kFalselyNotRun},
}};

}  // namespace

BOOST_AUTO_TEST_SUITE(AmplificationTest)

BOOST_AUTO_TEST_CASE(AddsAtMostAFifthInATotalOutageOfTheDeepestService) {
  for (const Outage& outage : kOutages)
    BOOST_TEST(Measure(outage, {}, 1500) <= 1.2);
}

BOOST_AUTO_TEST_CASE(AddsAtMostAFifthInAPartialOutage) {
  for (const double failing_share : {0.05, 0.2, 0.5, 0.8}) {
    Outage outage{"errors/plain", AttemptResult::kAnswered,
                  FailurePropagation::kPlainError, failing_share};
    BOOST_TEST(Measure(outage, {}, 1500) <= 1.2);
    outage = {"refused-connections/plain", AttemptResult::kNotSent,
              FailurePropagation::kPlainError, failing_share};
    BOOST_TEST(Measure(outage, {}, 1500) <= 1.2);
  }
}

BOOST_AUTO_TEST_CASE(AddsAtMostAFifthWithinTheFirstThreeHundredCalls) {
  for (const Outage& outage : kOutages) {
    if (outage.propagation == FailurePropagation::kFalselyNotRun) continue;
    BOOST_TEST(Measure(outage, {}, 300) <= 1.2);
  }
}

// Calls of applications that report "not run" although they passed the call
// down, without forbidding retries, are retried at each level for one token
// instead of max_levels, since the result reads as a failure of the worker
// itself. The budget cannot limit this case further.
BOOST_AUTO_TEST_CASE(AddsAtMostThreeFifthsWithUntrueNotRunResults) {
  for (const double failing_share : {0.2, 0.5, 0.8}) {
    const Outage outage{"refused-connections/refusal", AttemptResult::kNotSent,
                        FailurePropagation::kFalselyNotRun, failing_share};
    BOOST_TEST(Measure(outage, {}, 1500) <= 1.6);
  }
}

BOOST_AUTO_TEST_CASE(MultipliesAttemptsWithoutTheRetryBudget) {
  Protections none;
  none.has_retry_budget = false;
  const Outage outage{"no-budget errors/plain", AttemptResult::kAnswered,
                      FailurePropagation::kPlainError};
  BOOST_TEST(Measure(outage, none, 20) > 100);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::engine
