// Simulates a worker with slots and a queue, without sockets. For tests.
#pragma once

#include <chrono>
#include <deque>
#include <functional>
#include <utility>

#include "engine/testing/event_loop.h"
#include "model/attempt_outcome.h"

namespace burdockwheel::engine::testing {

class FakeWorker {
 public:
  using OnAnswered = std::function<void(const model::AttemptOutcome&)>;
  // Returns how long the call occupies a slot.
  using ServiceTime = std::function<std::chrono::nanoseconds()>;

  FakeWorker(EventLoop& loop, int slots) : loop(loop), free_slots(slots) {}

  // Runs the call when a slot is free. A call whose deadline has passed by then
  // is dropped without an answer.
  void Enqueue(kernel::Instant deadline, ServiceTime service_time,
               OnAnswered on_answered) {
    this->waiting.push_back({this->loop.Now(), deadline,
                             std::move(service_time), std::move(on_answered)});
    this->RunNext();
  }

  int StartedCalls() const { return this->started_calls; }

 private:
  struct Work {
    kernel::Instant taken_at;
    kernel::Instant deadline;
    ServiceTime service_time;
    OnAnswered on_answered;
  };

  void RunNext() {
    while (this->free_slots > 0 && !this->waiting.empty()) {
      Work work = std::move(this->waiting.front());
      this->waiting.pop_front();
      if (work.deadline < this->loop.Now()) continue;
      this->free_slots -= 1;
      this->started_calls += 1;
      const auto time = work.service_time();
      this->loop.ScheduleAfter(time, [this, work = std::move(work)] {
        this->free_slots += 1;
        this->RunNext();
        work.on_answered(this->AnswerTo(work));
      });
    }
  }

  model::AttemptOutcome AnswerTo(const Work& work) const {
    model::WorkerReport report;
    report.calls_in_flight = this->slots - this->free_slots;
    report.calls_queued = static_cast<int>(this->waiting.size());
    return {model::AttemptResult::kAnswered, 200,
            this->loop.Now() - work.taken_at, report, false};
  }

  EventLoop& loop;
  int free_slots;
  int slots = free_slots;
  int started_calls = 0;
  std::deque<Work> waiting;
};

}  // namespace burdockwheel::engine::testing
