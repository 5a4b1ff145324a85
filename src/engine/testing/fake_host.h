// Executes the actions of an engine with callbacks in place of sockets. For
// tests.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <variant>
#include <vector>

#include "engine/call_engine.h"
#include "engine/testing/event_loop.h"

namespace burdockwheel::engine::testing {

class FakeHost {
 public:
  // The result of a call as its caller sees it.
  struct CallResult {
    std::optional<model::AttemptId> relayed;  // if empty, see `refusal`
    model::Refusal refusal;
    int attempts = 0;
    int status = 0;  // of the relayed answer
    kernel::Instant at;
  };

  using OnCallResult = std::function<void(model::CallId, const CallResult&)>;

  FakeHost(EventLoop& loop, const EngineSettings& settings)
      : loop(loop), engine(settings) {}

  void Handle(const Event& event) {
    Actions actions;
    this->engine.Handle(this->loop.Now(), event, actions);
    if (this->on_handled) this->on_handled(event, actions);
    for (const Action& action : actions)
      std::visit([this](const auto& concrete) { this->Execute(concrete); },
                 action);
  }

  // Returns the id that the next call gets.
  model::CallId NextCall() const { return {this->last_call + 1}; }

  // Sends a call to the engine; `on_result` runs when the call is relayed or
  // refused.
  model::CallId Call(CallArrived event, OnCallResult on_result = nullptr) {
    event.call = model::CallId{++this->last_call};
    this->on_results[event.call] = std::move(on_result);
    this->fingerprints[event.call] = event.fingerprint;
    this->Handle(event);
    return event.call;
  }

  // Reports the end of an attempt; ignores further ends of the same attempt.
  void EndAttempt(const StartAttempt& attempt,
                  const model::AttemptOutcome& outcome) {
    if (this->running.erase(attempt.attempt) == 0) return;
    if (outcome.result == model::AttemptResult::kAnswered)
      this->statuses[attempt.attempt] = outcome.status;
    this->Handle(AttemptEnded{attempt.call, attempt.attempt, outcome});
  }

  std::uint64_t FingerprintOf(model::CallId call) const {
    return this->fingerprints.at(call);
  }
  bool HasCalls() const { return this->engine.HasCalls(); }
  const CallResult* ResultOrNull(model::CallId call) const {
    const auto found = this->results.find(call);
    return found == this->results.end() ? nullptr : &found->second;
  }

  std::function<void(const Event&, const Actions&)> on_handled;
  std::function<void(const StartAttempt&)> on_start = [](const auto&) {};
  std::function<void(const CancelAttempt&)> on_cancel = [](const auto&) {};
  std::function<void(const ShareCrashSuspicion&)> on_share = [](const auto&) {};
  std::vector<StartAttempt> started;
  std::vector<CancelAttempt> cancelled;
  std::vector<RecordChange> changes;
  std::unordered_map<model::CallId, CallResult> results;

 private:
  void Execute(const StartAttempt& action) {
    this->started.push_back(action);
    this->running.insert({action.attempt, true});
    this->attempts[action.call] += 1;
    this->loop.ScheduleAt(action.deadline, [this, action] {
      this->EndAttempt(action,
                       {model::AttemptResult::kTimedOut, 0, {}, {}, false});
    });
    this->on_start(action);
  }

  void Execute(const CancelAttempt& action) {
    this->cancelled.push_back(action);
    this->on_cancel(action);
  }

  void Execute(const RelayAnswer& action) {
    this->Finish(action.call,
                 {action.attempt, {}, 0, this->statuses[action.attempt], {}});
  }

  void Execute(const RefuseCall& action) {
    this->Finish(action.call, {std::nullopt, action.refusal, 0, 0, {}});
  }

  void Execute(const SendProbe& /*action*/) {}

  void Execute(const RecordQueued& /*action*/) {}

  void Execute(const ShareLoad& /*action*/) {}

  void Execute(const WakeAt& action) {
    this->loop.ScheduleAt(action.time, [this] { this->Handle(TimerFired{}); });
  }

  void Execute(const ShareCrashSuspicion& action) { this->on_share(action); }

  void Execute(const RecordChange& action) { this->changes.push_back(action); }

  void Finish(model::CallId call, CallResult call_result) {
    call_result.attempts = this->attempts[call];
    call_result.at = this->loop.Now();
    this->results[call] = call_result;
    if (const OnCallResult on_result = this->on_results[call])
      on_result(call, call_result);
  }

  EventLoop& loop;
  CallEngine engine;
  std::uint64_t last_call = 0;
  std::unordered_map<model::CallId, std::uint64_t> fingerprints;
  std::unordered_map<model::CallId, OnCallResult> on_results;
  std::unordered_map<model::CallId, int> attempts;
  std::unordered_map<model::AttemptId, bool> running;
  std::unordered_map<model::AttemptId, int> statuses;
};

// Returns settings of a host in failure domain "a".
inline EngineSettings MakeSettings(std::uint64_t seed) {
  EngineSettings settings;
  settings.failure_domain.value = "a";
  settings.random_seed = seed;
  return settings;
}

// Returns a configuration with this service only.
inline std::shared_ptr<const model::FleetConfiguration> MakeConfiguration(
    model::ServiceDefinition service, int most_entry_hosts = 19) {
  auto configuration = std::make_shared<model::FleetConfiguration>();
  configuration->version = 1;
  configuration->most_entry_hosts = most_entry_hosts;
  configuration->services.push_back(std::move(service));
  return configuration;
}

// Returns `count` live workers of the service in failure domain "a", named from
// "worker-0" on.
inline WorkersListed MakeWorkers(const model::ServiceName& service, int count) {
  WorkersListed event;
  for (int number = 0; number < count; ++number) {
    model::WorkerRecord record;
    record.id.value = "worker-" + std::to_string(number);
    record.service = service;
    record.failure_domain.value = "a";
    event.workers.push_back(std::move(record));
  }
  return event;
}

// Returns an answer with this status after this latency.
inline model::AttemptOutcome Answer(
    int status = 200,
    std::chrono::nanoseconds latency = std::chrono::milliseconds(10)) {
  return {model::AttemptResult::kAnswered, status, latency, {}, false};
}

inline model::AttemptOutcome Failure(model::AttemptResult result) {
  return {result, 0, {}, {}, false};
}

}  // namespace burdockwheel::engine::testing
