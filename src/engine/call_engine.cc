#include "engine/call_engine.h"

#include <random>
#include <unordered_map>
#include <utility>
#include <vector>

namespace burdockwheel::engine {

// FIXME: This first version chooses at random and sends each call once; the
// queue, retries, hedges and the standing of workers are still missing.
class CallEngine::Implementation {
 public:
  explicit Implementation(const EngineSettings& settings)
      : random(settings.random_seed) {}

  void Handle(kernel::Instant /*now*/, const CallArrived& event,
              Actions& actions) {
    const auto& workers = this->workers_by_service[event.service];
    if (workers.empty()) {
      actions.emplace_back(
          RefuseCall{event.call,
                     {model::RefusalReason::kNoWorker, model::RunState::kNotRun,
                      std::chrono::seconds(1)}});
      return;
    }
    std::uniform_int_distribution<std::size_t> index(0, workers.size() - 1);
    this->calls += 1;
    this->last_attempt.value += 1;
    actions.emplace_back(StartAttempt{event.call, this->last_attempt,
                                      workers[index(this->random)].address,
                                      event.deadline, AttemptCause::kFirstTry});
  }

  void Handle(kernel::Instant /*now*/, const AttemptEnded& event,
              Actions& actions) {
    this->calls -= 1;
    if (event.outcome.result == model::AttemptResult::kAnswered) {
      actions.emplace_back(RelayAnswer{event.call, event.attempt});
      return;
    }
    const bool is_not_run = model::IsProofOfNotRun(event.outcome.result);
    actions.emplace_back(RefuseCall{
        event.call,
        {model::RefusalReason::kWorkerFailed,
         is_not_run ? model::RunState::kNotRun : model::RunState::kUnknown,
         std::chrono::milliseconds(0)}});
  }

  void Handle(kernel::Instant /*now*/, const WorkersListed& event,
              Actions& /*actions*/) {
    this->workers_by_service.clear();
    for (const auto& worker : event.workers) {
      if (worker.state != model::WorkerState::kLive) continue;
      this->workers_by_service[worker.service].push_back(worker);
    }
  }

  bool HasCalls() const { return this->calls > 0; }

  template <typename OtherEvent>
  void Handle(kernel::Instant /*now*/, const OtherEvent& /*event*/,
              Actions& /*actions*/) {}

 private:
  std::mt19937_64 random;
  std::size_t calls = 0;
  model::AttemptId last_attempt;
  std::unordered_map<model::ServiceName, std::vector<model::WorkerRecord>>
      workers_by_service;
};

CallEngine::CallEngine(const EngineSettings& settings)
    : implementation(std::make_unique<Implementation>(settings)) {}

CallEngine::~CallEngine() = default;

bool CallEngine::HasCalls() const { return this->implementation->HasCalls(); }

void CallEngine::Handle(kernel::Instant now, const Event& event,
                        Actions& actions) {
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->implementation->Handle(now, concrete, actions);
      },
      event);
}

}  // namespace burdockwheel::engine
