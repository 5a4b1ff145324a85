// One connection to a worker.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/answer_reader.h"
#include "http/message.h"
#include "http/read_buffer.h"
#include "kernel/instant.h"
#include "model/attempt_outcome.h"

namespace burdockwheel::http {

// Carries one request at a time. Not thread-safe; runs on the io_context's
// thread.
class WorkerConnection : public std::enable_shared_from_this<WorkerConnection> {
 public:
  // Told once for each request: how it ended and, if kAnswered, the answer.
  using CompletionHandler =
      std::function<void(model::AttemptResult result, Answer answer)>;
  // Told once when the connection can no longer be used.
  using ClosedHandler = std::function<void()>;

  WorkerConnection(boost::asio::io_context& context,
                   std::size_t most_answer_bytes, ClosedHandler on_closed);

  // Opens the connection; requests may be sent at once and wait for it.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);

  // Precondition: IsIdle().
  void Send(std::string bytes, bool is_head, CompletionHandler on_complete);

  // Closes the connection; a request in flight ends with `reason`, or with
  // kNotSent if nothing of it has been written.
  void Abort(model::AttemptResult reason);

  // When the connection was opened or its last answer was complete.
  kernel::Instant IdleSince() const { return this->idle_since; }

  bool IsIdle() const { return !this->on_complete && !this->is_closed; }
  bool IsClosed() const { return this->is_closed; }
  bool IsConnected() const { return this->is_connected; }

 private:
  void Write();
  void Read();
  void OnRead(std::size_t size);
  void OnEnd();
  void Complete(Answer answer);

  boost::asio::ip::tcp::socket socket;
  ClosedHandler on_closed;
  CompletionHandler on_complete;
  AnswerReader reader;
  ReadBuffer inbox;
  std::string outbox;
  kernel::Instant idle_since = std::chrono::steady_clock::now();
  bool is_connected = false;
  bool is_closed = false;
  bool is_writing = false;
  bool has_written = false;  // bytes of the present request may have left
};

}  // namespace burdockwheel::http
