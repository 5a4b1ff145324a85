#include "http/worker_pool.h"

#include <boost/asio/post.hpp>
#include <optional>
#include <unordered_set>
#include <utility>

#include "http/ip_address.h"
#include "http/worker_connections.h"

namespace burdockwheel::http {

struct WorkerPool::Attempt {
  std::shared_ptr<WorkerConnection> connection;
  CompletionHandler on_complete;
  std::optional<DeadlineQueue::Handle> deadline;  // empty once it is past
  kernel::Instant started;
};

struct WorkerPool::Worker {
  std::uint64_t incarnation = 0;
  WorkerConnections connections;
};

WorkerPool::WorkerPool(boost::asio::io_context& context,
                       DeadlineQueue& deadlines,
                       const MessageConventions& conventions,
                       const WorkerPoolLimits& limits)
    : context(context),
      deadlines(deadlines),
      limits(limits),
      answer_budget(limits.max_unfinished_bytes),
      shared{context,
             deadlines,
             conventions,
             limits.most_answer_bytes,
             limits.connect_timeout,
             &this->answer_budget},
      sweep_timer(context) {
  this->SweepLater();
}

WorkerPool::~WorkerPool() {
  // Connections refer to this object; none may outlive it while it is in use.
  const auto ending = std::exchange(this->attempts, {});
  for (const auto& [id, attempt] : ending) {
    if (attempt->deadline) this->deadlines.Cancel(*attempt->deadline);
    if (!attempt->connection) continue;
    attempt->connection->Abort(model::AttemptResult::kCancelled,
                               model::BreakCause::kCancelled);
  }
  for (const auto& [id, worker] : this->workers)
    worker->connections.CloseIdleBeyond(0);
}

void WorkerPool::SetWorkers(const std::vector<model::WorkerRecord>& records) {
  std::unordered_set<model::WorkerId> kept;
  for (const auto& record : records) {
    const auto endpoint = ParseEndpointOrNull(record.address.value);
    if (!endpoint) continue;
    kept.insert(record.id);
    auto& worker = this->workers[record.id];
    const bool is_same = worker && worker->incarnation == record.incarnation &&
                         worker->connections.Endpoint() == *endpoint;
    if (is_same) continue;
    if (worker) worker->connections.CloseIdleBeyond(0);
    worker = std::make_unique<Worker>(
        Worker{record.incarnation, WorkerConnections(this->shared, *endpoint)});
  }
  std::erase_if(this->workers, [&kept](auto& entry) {
    if (kept.contains(entry.first)) return false;
    entry.second->connections.CloseIdleBeyond(0);
    return true;
  });
}

void WorkerPool::Send(model::AttemptId attempt_id,
                      const model::WorkerId& worker, OutgoingRequest request,
                      kernel::Instant deadline, CompletionHandler on_complete) {
  const auto now = std::chrono::steady_clock::now();
  const auto found = this->workers.find(worker);
  auto attempt = std::make_unique<Attempt>();
  if (found != this->workers.end()) {
    auto& connections = found->second->connections;
    const auto count = connections.Count();
    attempt->connection = connections.AcquireOrNull(
        now, this->limits.most_connections, request.request_id);
    if (connections.Count() > count) this->opened += 1;
  }
  attempt->on_complete = std::move(on_complete);
  attempt->started = now;
  const auto connection = attempt->connection;
  attempt->deadline = this->deadlines.Add(
      deadline, [this, attempt_id] { this->OnDeadline(attempt_id); });
  this->attempts.emplace(attempt_id, std::move(attempt));
  if (!connection) {
    const auto cause = found == this->workers.end()
                           ? model::BreakCause::kUnknownWorker
                           : model::BreakCause::kNoConnection;
    boost::asio::post(
        this->context, this->lifetime.Guard([this, attempt_id, cause] {
          this->Finish(attempt_id,
                       {model::AttemptResult::kNotSent, cause, Answer()});
        }));
    return;
  }
  connection->Send(std::move(request),
                   [this, attempt_id](WorkerConnection::Ending ending) {
                     this->Finish(attempt_id, std::move(ending));
                   });
}

void WorkerPool::Finish(model::AttemptId attempt_id,
                        WorkerConnection::Ending ending) {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) return;
  const auto attempt = std::move(found->second);
  this->attempts.erase(found);
  if (attempt->deadline) this->deadlines.Cancel(*attempt->deadline);
  model::AttemptOutcome outcome;
  outcome.result = ending.result;
  outcome.cause = ending.cause;
  outcome.latency = std::chrono::steady_clock::now() - attempt->started;
  const auto& conventions = this->shared.conventions;
  if (ending.result == model::AttemptResult::kAnswered ||
      ending.result == model::AttemptResult::kRefused) {
    outcome.status = ending.answer.status;
    outcome.report = conventions.read_report(ending.answer.headers);
    outcome.notice = conventions.read_notice(ending.answer);
    outcome.is_retry_forbidden = conventions.forbids_retry(ending.answer);
    outcome.is_promise_of_not_run =
        conventions.is_promise_of_not_run(ending.answer);
  }
  attempt->on_complete(outcome, std::move(ending.answer));
}

void WorkerPool::Abort(model::AttemptId attempt_id, model::AttemptResult reason,
                       model::BreakCause cause) {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) return;
  const auto connection = found->second->connection;
  if (connection) connection->Abort(reason, cause);
}

void WorkerPool::OnDeadline(model::AttemptId attempt_id) {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) return;
  // The queue has dropped the entry that called this.
  found->second->deadline.reset();
  this->Abort(attempt_id, model::AttemptResult::kTimedOut,
              model::BreakCause::kDeadline);
}

void WorkerPool::SweepLater() {
  this->sweep_timer.expires_after(this->limits.sweep_period);
  this->sweep_timer.async_wait(
      this->lifetime.Guard([this](const boost::system::error_code& error) {
        if (error) return;
        const auto now = std::chrono::steady_clock::now();
        for (auto& [id, worker] : this->workers) {
          worker->connections.CloseIdle(now, now - this->limits.idle_timeout);
        }
        this->SweepLater();
      }));
}

void WorkerPool::Cancel(model::AttemptId attempt_id) {
  boost::asio::post(this->context, this->lifetime.Guard([this, attempt_id] {
    this->Abort(attempt_id, model::AttemptResult::kCancelled,
                model::BreakCause::kCancelled);
  }));
}

void WorkerPool::SetMostConnections(std::size_t most_connections) {
  this->limits.most_connections = most_connections;
  for (auto& [id, worker] : this->workers) {
    worker->connections.CloseIdleBeyond(most_connections);
  }
}

std::size_t WorkerPool::ConnectionCount() const {
  std::size_t count = 0;
  for (const auto& [id, worker] : this->workers) {
    count += worker->connections.Count();
  }
  return count;
}

}  // namespace burdockwheel::http
