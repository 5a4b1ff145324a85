// The connections to one worker.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstddef>
#include <memory>
#include <vector>

#include "http/worker_connection.h"
#include "kernel/instant.h"

namespace burdockwheel::http {

// Holds the open connections to one worker, inside a bound.
class WorkerConnections {
 public:
  WorkerConnections(boost::asio::io_context& context,
                    boost::asio::ip::tcp::endpoint endpoint,
                    std::size_t most_answer_bytes);

  // Returns an idle connection, or a new one that is being opened, or null if
  // the bound is reached. The one used last is taken first, so that surplus
  // ones stay idle and are closed.
  std::shared_ptr<WorkerConnection> AcquireOrNull(std::size_t most_connections);

  // Closes idle connections until at most `count` connections are left.
  void CloseIdleBeyond(std::size_t count);

  // Closes connections that have been idle since before `time`.
  void CloseIdleSince(kernel::Instant time);

  std::size_t Count() const { return this->connections->size(); }

 private:
  using Connections = std::vector<std::shared_ptr<WorkerConnection>>;

  boost::asio::io_context& context;
  boost::asio::ip::tcp::endpoint endpoint;
  std::size_t most_answer_bytes;
  std::shared_ptr<Connections> connections;
};

}  // namespace burdockwheel::http
