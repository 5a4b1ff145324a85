#include "http/worker_connections.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::http {

WorkerConnections::WorkerConnections(boost::asio::io_context& context,
                                     boost::asio::ip::tcp::endpoint endpoint,
                                     std::size_t most_answer_bytes)
    : context(context),
      endpoint(std::move(endpoint)),
      most_answer_bytes(most_answer_bytes),
      connections(std::make_shared<Connections>()) {}

std::shared_ptr<WorkerConnection> WorkerConnections::AcquireOrNull(
    std::size_t most_connections) {
  const auto idle =
      std::find_if(this->connections->rbegin(), this->connections->rend(),
                   [](const auto& connection) { return connection->IsIdle(); });
  if (idle != this->connections->rend()) return *idle;
  if (this->connections->size() >= most_connections) return nullptr;
  // The list outlives this object where a connection closes later.
  auto holder = std::make_shared<std::weak_ptr<WorkerConnection>>();
  auto connection =
      std::make_shared<WorkerConnection>(this->context, this->most_answer_bytes,
                                         [list = this->connections, holder] {
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
    connection->Abort(model::AttemptResult::kCancelled);
  }
}

void WorkerConnections::CloseIdleSince(kernel::Instant time) {
  // Closing a connection removes it from the list, so a copy is walked.
  const auto present = *this->connections;
  for (const auto& connection : present) {
    if (!connection->IsIdle() || connection->IdleSince() >= time) continue;
    connection->Abort(model::AttemptResult::kCancelled);
  }
}

}  // namespace burdockwheel::http
