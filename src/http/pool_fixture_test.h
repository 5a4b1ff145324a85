// A pool of connections to workers, for tests over loopback.
#pragma once

#include <boost/asio/post.hpp>
#include <chrono>
#include <functional>
#include <future>
#include <memory>
#include <string>
#include <vector>

#include "http/deadline_queue.h"
#include "http/loopback_fixture_test.h"
#include "http/message_conventions.h"
#include "http/worker_pool.h"
#include "model/worker_record.h"

namespace burdockwheel::http::testing {

struct Ended {
  model::AttemptOutcome outcome;
  Answer answer;
};

// Sends requests to workers through a pool that runs on the fixture's thread.
class PoolFixture : public LoopbackFixture {
 public:
  explicit PoolFixture(
      const MessageConventions& conventions = DefaultMessageConventions()) {
    this->OnThread([this, &conventions] {
      this->deadlines = std::make_unique<DeadlineQueue>(this->context);
      this->pool = std::make_unique<WorkerPool>(
          this->context, *this->deadlines, conventions, WorkerPoolLimits());
    });
  }

  ~PoolFixture() {
    this->OnThread([this] {
      this->pool.reset();
      this->deadlines.reset();
    });
  }

  Ended Call(const model::WorkerAddress& worker, const std::string& bytes,
             std::chrono::milliseconds patience = std::chrono::seconds(10),
             const std::string& request_id = "") {
    std::promise<Ended> ended;
    this->last_attempt.value += 1;
    this->List(worker);
    this->OnThread([&] {
      this->pool->SetWorkers(this->records);
      this->pool->Send(
          this->last_attempt, {worker.value}, {bytes, false, request_id},
          std::chrono::steady_clock::now() + patience,
          [&ended](const model::AttemptOutcome& outcome, Answer answer) {
            ended.set_value({outcome, std::move(answer)});
          });
    });
    return ended.get_future().get();
  }

  // Adds the worker to those that the pool is told of.
  void List(const model::WorkerAddress& worker) {
    for (const auto& record : this->records) {
      if (record.address == worker) return;
    }
    this->records.push_back({.id = {worker.value}, .address = worker});
  }

  std::unique_ptr<DeadlineQueue> deadlines;
  std::unique_ptr<WorkerPool> pool;
  std::vector<model::WorkerRecord> records;
  model::AttemptId last_attempt;
};

}  // namespace burdockwheel::http::testing
