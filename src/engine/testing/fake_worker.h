// A worker with slots and a queue, without sockets. For tests.
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
  using OnEnd = std::function<void(const model::AttemptOutcome&)>;
  // Draws how long the next call of the kind holds a slot.
  using ServiceTime = std::function<std::chrono::nanoseconds()>;

  FakeWorker(EventLoop& loop, int slots) : loop(loop), free_slots(slots) {}

  // Runs the call when a slot is free, unless its deadline has passed by then.
  void Take(kernel::Instant deadline, ServiceTime service_time, OnEnd on_end) {
    this->waiting.push_back({this->loop.Now(), deadline,
                             std::move(service_time), std::move(on_end)});
    this->RunNext();
  }

  int Runs() const { return this->runs; }

 private:
  struct Work {
    kernel::Instant taken_at;
    kernel::Instant deadline;
    ServiceTime service_time;
    OnEnd on_end;
  };

  void RunNext() {
    while (this->free_slots > 0 && !this->waiting.empty()) {
      Work work = std::move(this->waiting.front());
      this->waiting.pop_front();
      if (work.deadline < this->loop.Now()) continue;
      this->free_slots -= 1;
      this->runs += 1;
      const auto time = work.service_time();
      this->loop.After(time, [this, work = std::move(work)] {
        this->free_slots += 1;
        this->RunNext();
        work.on_end(this->AnswerTo(work));
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
  int runs = 0;
  std::deque<Work> waiting;
};

}  // namespace burdockwheel::engine::testing
