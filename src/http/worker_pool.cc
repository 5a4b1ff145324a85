#include "http/worker_pool.h"

#include <boost/asio/post.hpp>
#include <optional>
#include <unordered_set>
#include <utility>

#include "http/ip_address.h"
#include "http/worker_connections.h"
#include "http/worker_report_header.h"

namespace burdockwheel::http {

namespace {

constexpr int kServiceUnavailable = 503;

// A refusal counts as proof only if the worker states it in the agreed form.
bool IsStatedRefusal(const Answer& answer) {
  if (answer.status != kServiceUnavailable) return false;
  const auto* run = HeaderOrNull(answer.headers, kRunHeader);
  return run != nullptr && *run == "not-run";
}

}  // namespace

struct WorkerPool::Attempt {
  std::shared_ptr<WorkerConnection> connection;
  CompletionHandler on_complete;
  std::optional<DeadlineQueue::Handle> deadline;  // empty once it is past
  kernel::Instant started;
};

WorkerPool::WorkerPool(boost::asio::io_context& context,
                       DeadlineQueue& deadlines, const WorkerPoolLimits& limits)
    : context(context),
      deadlines(deadlines),
      limits(limits),
      sweep_timer(context) {
  this->SweepLater();
}

WorkerPool::~WorkerPool() = default;

void WorkerPool::Send(model::AttemptId attempt_id,
                      const model::WorkerAddress& worker, std::string bytes,
                      bool is_head, kernel::Instant deadline,
                      CompletionHandler on_complete) {
  auto& connections = this->workers[worker];
  if (!connections) {
    const auto endpoint = ParseEndpointOrNull(worker.value);
    connections = std::make_unique<WorkerConnections>(
        this->context, endpoint.value_or(boost::asio::ip::tcp::endpoint()),
        this->limits.most_answer_bytes);
  }
  auto attempt = std::make_unique<Attempt>();
  attempt->connection =
      connections->AcquireOrNull(this->limits.most_connections);
  attempt->on_complete = std::move(on_complete);
  attempt->started = std::chrono::steady_clock::now();
  const bool has_connection = attempt->connection != nullptr;
  attempt->deadline = this->deadlines.Add(
      deadline, [this, attempt_id] { this->OnDeadline(attempt_id); });
  this->attempts.emplace(attempt_id, std::move(attempt));
  if (!has_connection) {
    boost::asio::post(this->context, [this, attempt_id] {
      this->Finish(attempt_id, model::AttemptResult::kNotSent, Answer());
    });
    return;
  }
  this->Launch(attempt_id, std::move(bytes), is_head);
}

void WorkerPool::Launch(model::AttemptId attempt_id, std::string bytes,
                        bool is_head) {
  const auto connection = this->attempts.at(attempt_id)->connection;
  connection->Send(
      std::move(bytes), is_head,
      [this, attempt_id](model::AttemptResult result, Answer answer) {
        this->Finish(attempt_id, result, std::move(answer));
      });
}

void WorkerPool::Finish(model::AttemptId attempt_id,
                        model::AttemptResult result, Answer answer) {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) return;
  const auto attempt = std::move(found->second);
  this->attempts.erase(found);
  if (attempt->deadline) this->deadlines.Cancel(*attempt->deadline);
  model::AttemptOutcome outcome;
  outcome.result = result;
  outcome.latency = std::chrono::steady_clock::now() - attempt->started;
  if (result == model::AttemptResult::kAnswered) {
    outcome.status = answer.status;
    const auto* load = HeaderOrNull(answer.headers, kLoadHeader);
    if (load != nullptr) outcome.report = ParseWorkerReportOrNull(*load);
    const auto* retry = HeaderOrNull(answer.headers, kRetryHeader);
    outcome.is_retry_forbidden = retry != nullptr && *retry == "no";
    if (IsStatedRefusal(answer)) {
      outcome.result = model::AttemptResult::kRefused;
    }
  }
  attempt->on_complete(outcome, std::move(answer));
}

void WorkerPool::Abort(model::AttemptId attempt_id,
                       model::AttemptResult reason) {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) return;
  const auto connection = found->second->connection;
  if (connection) connection->Abort(reason);
}

void WorkerPool::OnDeadline(model::AttemptId attempt_id) {
  const auto found = this->attempts.find(attempt_id);
  if (found == this->attempts.end()) return;
  // The queue has dropped the entry that called this.
  found->second->deadline.reset();
  this->Abort(attempt_id, model::AttemptResult::kTimedOut);
}

void WorkerPool::SweepLater() {
  this->sweep_timer.expires_after(this->limits.sweep_period);
  this->sweep_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    const auto limit =
        std::chrono::steady_clock::now() - this->limits.idle_timeout;
    for (auto& [address, connections] : this->workers) {
      connections->CloseIdleSince(limit);
    }
    this->SweepLater();
  });
}

void WorkerPool::Cancel(model::AttemptId attempt_id) {
  boost::asio::post(this->context, [this, attempt_id] {
    this->Abort(attempt_id, model::AttemptResult::kCancelled);
  });
}

void WorkerPool::SetMostConnections(std::size_t most_connections) {
  this->limits.most_connections = most_connections;
  for (auto& [address, connections] : this->workers) {
    connections->CloseIdleBeyond(most_connections);
  }
}

void WorkerPool::KeepOnly(const std::vector<model::WorkerAddress>& workers) {
  const std::unordered_set<model::WorkerAddress> kept(workers.begin(),
                                                      workers.end());
  for (auto& [address, connections] : this->workers) {
    if (kept.contains(address)) continue;
    connections->CloseIdleBeyond(0);
  }
  std::erase_if(this->workers, [&kept](const auto& entry) {
    return !kept.contains(entry.first) && entry.second->Count() == 0;
  });
}

std::size_t WorkerPool::ConnectionCount() const {
  std::size_t count = 0;
  for (const auto& [address, connections] : this->workers) {
    count += connections->Count();
  }
  return count;
}

}  // namespace burdockwheel::http
