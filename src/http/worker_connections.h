// The connections to one worker.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <string>
#include <vector>

#include "http/worker_connection.h"
#include "kernel/instant.h"

namespace burdockwheel::http {

// Holds the open connections to one worker, inside a bound.
class WorkerConnections {
 public:
  WorkerConnections(const ConnectionContext& shared,
                    boost::asio::ip::tcp::endpoint endpoint);

  // Returns an idle connection for a request of this id, or a new one that is
  // being opened, or null if the bound is reached. The one used last is taken
  // first, so that surplus ones stay idle and are closed.
  std::shared_ptr<WorkerConnection> AcquireOrNull(
      kernel::Instant now, std::size_t most_connections,
      const std::string& request_id);

  // Closes idle connections until at most `count` connections are left.
  void CloseIdleBeyond(std::size_t count);

  // Closes connections that have been idle since before `time`, and those that
  // the worker no longer keeps.
  void CloseIdle(kernel::Instant now, kernel::Instant time);

  std::size_t Count() const { return this->connections->size(); }
  const boost::asio::ip::tcp::endpoint& Endpoint() const {
    return this->endpoint;
  }

 private:
  using Connections = std::vector<std::shared_ptr<WorkerConnection>>;

  const ConnectionContext& shared;
  boost::asio::ip::tcp::endpoint endpoint;
  std::shared_ptr<Connections> connections;
};

}  // namespace burdockwheel::http
