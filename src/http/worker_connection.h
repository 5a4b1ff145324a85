// One connection to a worker.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>
#include <chrono>
#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "http/answer_budget.h"
#include "http/answer_reader.h"
#include "http/deadline_queue.h"
#include "http/message.h"
#include "http/message_conventions.h"
#include "http/outgoing_request.h"
#include "http/read_buffer.h"
#include "kernel/instant.h"
#include "model/attempt_outcome.h"

namespace burdockwheel::http {

// What all connections of a pool share. The references must outlive them.
struct ConnectionContext {
  boost::asio::io_context& context;
  DeadlineQueue& deadlines;
  const MessageConventions& conventions;
  std::size_t most_answer_bytes = 0;
  std::chrono::milliseconds connect_timeout{0};
  // Bounds the unfinished answers of all connections; null: nothing does.
  AnswerBudget* answer_budget = nullptr;
};

// Carries one request at a time. Not thread-safe; runs on the io_context's
// thread.
class WorkerConnection : public std::enable_shared_from_this<WorkerConnection> {
 public:
  // How a request ended.
  struct Ending {
    model::AttemptResult result = model::AttemptResult::kBroken;
    model::BreakCause cause = model::BreakCause::kNone;
    Answer answer;  // of kAnswered, kRefused and kMisdirected
  };
  // Told once for each request.
  using CompletionHandler = std::function<void(Ending)>;
  // Told once when the connection can no longer be used.
  using ClosedHandler = std::function<void()>;

  WorkerConnection(const ConnectionContext& shared, ClosedHandler on_closed);

  // Opens the connection; requests may be sent at once and wait for it.
  void Connect(const boost::asio::ip::tcp::endpoint& endpoint);

  // Precondition: IsIdle().
  void Send(OutgoingRequest request, CompletionHandler on_complete);

  // Closes the connection; a request in flight ends with `reason`, or with
  // kNotSent if nothing of it has been written.
  void Abort(model::AttemptResult reason, model::BreakCause cause);

  // When the connection was opened or its last answer was complete.
  kernel::Instant IdleSince() const { return this->idle_since; }

  // Told, as bytes arrive, how many there are of the present answer. Must not
  // close the connection.
  using ArrivalHook = std::function<void(std::size_t received_bytes)>;
  void SetArrivalHook(ArrivalHook hook) { this->on_arrival = std::move(hook); }

  // What has arrived of the answer to the present request, or of the last one.
  std::size_t ReceivedBytes() const { return this->received_bytes; }
  // When the last of it arrived, or when the request was handed in.
  kernel::Instant ReceivedAt() const { return this->received_at; }

  // Tells whether the peer still keeps the idle connection open, as far as its
  // last answer told.
  bool IsKept(kernel::Instant now) const;

  // Returns whether the worker has refused a request of this id here. A faulty
  // worker may write that refusal again, and it could not be told from the
  // answer to a second request of the id.
  bool HasRefused(const std::string& request_id) const;

  bool IsIdle() const { return !this->on_complete && !this->is_closed; }
  bool IsClosed() const { return this->is_closed; }
  bool IsConnected() const { return this->is_connected; }

 private:
  void OnConnected(const boost::system::error_code& error);
  void Write();
  void Read();
  void OnRead(std::size_t size);
  void OnEnd(const boost::system::error_code& error);
  bool WasResetAtWrite() const;
  void OnPeerEnded();
  void CountBytes();
  void TakeAnswer();
  void NoteRefusal(const Answer& answer);
  void Complete(model::AttemptResult result, Answer answer);
  void CancelConnectTimeout();

  const ConnectionContext& shared;
  boost::asio::ip::tcp::socket socket;
  ClosedHandler on_closed;
  CompletionHandler on_complete;
  ArrivalHook on_arrival;
  AnswerReader reader;
  ReadBuffer inbox;
  OutgoingRequest outgoing;
  kernel::Instant idle_since = std::chrono::steady_clock::now();
  std::size_t received_bytes = 0;
  std::optional<AnswerBudget::Share> held_bytes;  // of an answer that is large
  kernel::Instant received_at = this->idle_since;
  boost::system::error_code write_error;  // of the last write
  // From the peer's Keep-Alive header; nothing if it did not tell.
  std::optional<std::chrono::milliseconds> kept_for;
  std::optional<DeadlineQueue::Handle> connect_deadline;
  bool is_connected = false;
  bool is_closed = false;
  bool is_writing = false;
  bool has_written = false;     // bytes of the present request may have left
  bool has_peer_ended = false;  // its side of the connection
  bool is_tainted = false;      // what comes next cannot be told apart
  std::vector<std::string> refused_ids;
};

}  // namespace burdockwheel::http
