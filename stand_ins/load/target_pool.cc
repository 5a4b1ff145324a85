#include "stand_ins/load/target_pool.h"

#include <utility>

namespace burdockwheel::stand_ins {

TargetPool::TargetPool(boost::asio::io_context& context, std::string address,
                       int most_connections, OnEnded on_ended)
    : context(context),
      address(std::move(address)),
      most_connections(static_cast<std::size_t>(most_connections)),
      on_ended(std::move(on_ended)) {}

void TargetPool::Send(PendingSend send) {
  if (!this->idle.empty()) {
    const ConnectionPointer connection = std::move(this->idle.back());
    this->idle.pop_back();
    return connection->Send(std::move(send));
  }
  if (this->connections.size() >= this->most_connections) {
    this->waiting.push_back(std::move(send));
    return;
  }
  const ConnectionPointer connection = CallerConnection::Create(
      this->context, this->address,
      [this](const ConnectionPointer& ended, SendResult result,
             PendingSend ended_send) {
        this->ConnectionEnded(ended, result, std::move(ended_send));
      });
  ++this->opened;
  this->connections.insert(connection);
  connection->Send(std::move(send));
}

void TargetPool::ConnectionEnded(const ConnectionPointer& connection,
                                 SendResult result, PendingSend send) {
  if (connection->IsReusable()) {
    this->idle.push_back(connection);
  } else {
    this->connections.erase(connection);
  }
  this->SendWaiting();
  this->on_ended(result, std::move(send));
}

void TargetPool::SendWaiting() {
  if (this->waiting.empty()) return;
  PendingSend next = std::move(this->waiting.front());
  this->waiting.pop_front();
  this->Send(std::move(next));
}

void TargetPool::EndLateSends(kernel::Instant now) {
  const std::vector<ConnectionPointer> open(this->connections.begin(),
                                            this->connections.end());
  for (const ConnectionPointer& connection : open) connection->EndIfLate(now);
  // A send that still waits has not left the caller.
  while (!this->waiting.empty() && this->waiting.front().deadline <= now) {
    PendingSend late = std::move(this->waiting.front());
    this->waiting.pop_front();
    this->on_ended(SendResult::kConnectFailed, std::move(late));
  }
}

}  // namespace burdockwheel::stand_ins
