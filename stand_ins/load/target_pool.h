// The connections of one thread of a load generator to one target.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <memory>
#include <string>
#include <unordered_set>
#include <vector>

#include "stand_ins/load/caller_connection.h"

namespace burdockwheel::stand_ins {

// Uses an idle connection, else opens a new one, else lets the send wait; the
// wait counts into the call's latency.
class TargetPool {
 public:
  using OnEnded = std::function<void(SendResult, PendingSend)>;

  TargetPool(boost::asio::io_context& context, std::string address,
             int most_connections, OnEnded on_ended);

  void Send(PendingSend send);

  // Ends the sends whose deadline has passed.
  void EndLateSends(kernel::Instant now);

  std::int64_t OpenedCount() const { return this->opened; }

 private:
  using ConnectionPointer = std::shared_ptr<CallerConnection>;

  void ConnectionEnded(const ConnectionPointer& connection, SendResult result,
                       PendingSend send);
  void SendWaiting();

  boost::asio::io_context& context;
  std::string address;
  std::size_t most_connections;
  OnEnded on_ended;
  std::unordered_set<ConnectionPointer> connections;
  std::vector<ConnectionPointer> idle;
  std::deque<PendingSend> waiting;
  std::int64_t opened = 0;
};

}  // namespace burdockwheel::stand_ins
