#include "http/worker_connections.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::http {

WorkerConnections::WorkerConnections(const ConnectionContext& shared,
                                     boost::asio::ip::tcp::endpoint endpoint)
    : shared(shared),
      endpoint(std::move(endpoint)),
      connections(std::make_shared<Connections>()) {}

std::shared_ptr<WorkerConnection> WorkerConnections::AcquireOrNull(
    kernel::Instant now, std::size_t most_connections,
    const std::string& request_id) {
  const WorkerConnection* newest = nullptr;
  std::shared_ptr<WorkerConnection> chosen;
  for (const auto& connection : *this->connections) {
    if (!connection->IsIdle() || !connection->IsConnected()) continue;
    if (!connection->IsKept(now)) continue;
    if (connection->HasRefused(request_id)) continue;
    if (newest && connection->IdleSince() < newest->IdleSince()) continue;
    newest = connection.get();
    chosen = connection;
  }
  if (chosen) return chosen;
  if (this->connections->size() >= most_connections) return nullptr;
  // The list outlives this object where a connection closes later.
  auto holder = std::make_shared<std::weak_ptr<WorkerConnection>>();
  auto connection = std::make_shared<WorkerConnection>(
      this->shared, [list = this->connections, holder] {
        std::erase(*list, holder->lock());
      });
  *holder = connection;
  this->connections->push_back(connection);
  connection->Connect(this->endpoint);
  return connection;
}

void WorkerConnections::CloseIdleBeyond(std::size_t count) {
  // Closing a connection removes it from the list, so a copy is walked.
  const auto present = *this->connections;
  for (const auto& connection : present) {
    if (this->connections->size() <= count) return;
    if (!connection->IsIdle()) continue;
    connection->Abort(model::AttemptResult::kCancelled,
                      model::BreakCause::kNone);
  }
}

void WorkerConnections::CloseIdle(kernel::Instant now, kernel::Instant time) {
  // Closing a connection removes it from the list, so a copy is walked.
  const auto present = *this->connections;
  for (const auto& connection : present) {
    if (!connection->IsIdle()) continue;
    if (connection->IdleSince() >= time && connection->IsKept(now)) continue;
    connection->Abort(model::AttemptResult::kCancelled,
                      model::BreakCause::kNone);
  }
}

}  // namespace burdockwheel::http
