// The connections of a host to the workers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <limits>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "http/answer_budget.h"
#include "http/deadline_queue.h"
#include "http/message.h"
#include "http/message_conventions.h"
#include "http/outgoing_request.h"
#include "http/worker_connection.h"
#include "kernel/instant.h"
#include "kernel/lifetime.h"
#include "model/attempt_outcome.h"
#include "model/identifiers.h"
#include "model/worker_record.h"

namespace burdockwheel::http {

class WorkerConnections;

struct WorkerPoolLimits {
  std::size_t most_answer_bytes = std::size_t{8} * 1024 * 1024;
  // All answers together that are not whole yet.
  std::size_t max_unfinished_bytes = std::numeric_limits<std::size_t>::max();
  std::size_t most_connections = 10;  // to one worker, from this host
  std::chrono::milliseconds connect_timeout{250};
  // A connection without a request for this long, give or take a sweep, is
  // closed.
  std::chrono::milliseconds idle_timeout{30'000};
  std::chrono::milliseconds sweep_period{5'000};
};

// Sends requests to workers over connections that are kept and used again.
// Runs on the io_context's thread.
class WorkerPool {
 public:
  // Told once how a request ended, with the answer if there is one.
  using CompletionHandler =
      std::function<void(model::AttemptOutcome outcome, Answer answer)>;

  WorkerPool(boost::asio::io_context& context, DeadlineQueue& deadlines,
             const MessageConventions& conventions,
             const WorkerPoolLimits& limits);
  ~WorkerPool();

  // Takes where the workers are. Closes idle connections to those that are
  // gone, and to those whose address or life has changed.
  void SetWorkers(const std::vector<model::WorkerRecord>& records);

  // Sends a request to a worker. The handler is called later, never from
  // within this call.
  void Send(model::AttemptId attempt, const model::WorkerId& worker,
            OutgoingRequest request, kernel::Instant deadline,
            CompletionHandler on_complete);

  // Gives an attempt up by closing its connection, which asks the worker to
  // stop. The handler is told kCancelled, or kNotSent. Does nothing if the
  // attempt has ended.
  void Cancel(model::AttemptId attempt);

  // Sets how many connections to one worker this host may hold.
  void SetMostConnections(std::size_t most_connections);

  std::size_t ConnectionCount() const;
  // Connections opened since the start.
  std::uint64_t OpenedCount() const { return this->opened; }

 private:
  struct Attempt;
  struct Worker;

  void Finish(model::AttemptId attempt_id, WorkerConnection::Ending ending);
  void SweepLater();
  void OnDeadline(model::AttemptId attempt_id);
  void Abort(model::AttemptId attempt_id, model::AttemptResult reason,
             model::BreakCause cause);

  boost::asio::io_context& context;
  DeadlineQueue& deadlines;
  WorkerPoolLimits limits;
  AnswerBudget answer_budget;
  ConnectionContext shared;
  std::unordered_map<model::WorkerId, std::unique_ptr<Worker>> workers;
  std::unordered_map<model::AttemptId, std::unique_ptr<Attempt>> attempts;
  std::uint64_t opened = 0;
  boost::asio::steady_timer sweep_timer;
  kernel::Lifetime lifetime;
};

}  // namespace burdockwheel::http
