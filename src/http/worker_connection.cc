#include "http/worker_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace burdockwheel::http {

namespace {

constexpr std::size_t kReadSize = std::size_t{8} * 1024;

}  // namespace

WorkerConnection::WorkerConnection(boost::asio::io_context& context,
                                   std::size_t most_answer_bytes,
                                   ClosedHandler on_closed)
    : socket(context),
      on_closed(std::move(on_closed)),
      reader(most_answer_bytes) {}

void WorkerConnection::Connect(const boost::asio::ip::tcp::endpoint& endpoint) {
  this->socket.async_connect(
      endpoint, [self = this->shared_from_this()](
                    const boost::system::error_code& error) {
        if (self->is_closed) return;
        if (error) {
          self->Abort(model::AttemptResult::kNotSent);
          return;
        }
        self->is_connected = true;
        boost::system::error_code ignored;
        self->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
        self->Read();
        if (self->on_complete) self->Write();
      });
}

void WorkerConnection::Send(std::string bytes, bool is_head,
                            CompletionHandler on_complete) {
  this->on_complete = std::move(on_complete);
  this->outbox = std::move(bytes);
  this->has_written = false;
  this->reader.Begin(is_head);
  if (this->is_connected) this->Write();
}

void WorkerConnection::Abort(model::AttemptResult reason) {
  if (this->is_closed) return;
  this->is_closed = true;
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (this->on_complete) {
    // Nothing was handed to the socket, so the worker cannot have run it.
    const auto result =
        this->has_written ? reason : model::AttemptResult::kNotSent;
    std::exchange(this->on_complete, nullptr)(result, Answer());
  }
  if (this->on_closed) std::exchange(this->on_closed, nullptr)();
}

void WorkerConnection::Write() {
  this->has_written = true;
  this->is_writing = true;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->outbox),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*size*/) {
        self->is_writing = false;
        // A failed write is left to the read side: the worker may have
        // answered before it closed its side.
        if (error == boost::asio::error::operation_aborted) return;
      });
}

// A read is outstanding while the connection is idle too, so that a worker's
// closing it is noticed before the next request is written.
void WorkerConnection::Read() {
  if (this->is_closed) return;
  this->socket.async_read_some(
      this->inbox.Prepare(kReadSize),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        if (self->is_closed) return;
        if (error) {
          self->OnEnd();
          return;
        }
        self->OnRead(size);
        self->Read();
      });
}

void WorkerConnection::OnRead(std::size_t size) {
  // Bytes that no request asked for cannot belong to a later one.
  if (!this->on_complete || !this->has_written) {
    this->Abort(model::AttemptResult::kBroken);
    return;
  }
  this->inbox.Commit(size);
  std::size_t consumed = 0;
  const auto state = this->reader.Feed(this->inbox.View(), consumed);
  this->inbox.Consume(consumed);
  if (state == AnswerState::kNeedsMore) return;
  if (state == AnswerState::kFailed) {
    this->Abort(model::AttemptResult::kBroken);
    return;
  }
  this->Complete(this->reader.TakeAnswer());
}

void WorkerConnection::OnEnd() {
  if (this->on_complete && this->has_written &&
      this->reader.FeedEnd() == AnswerState::kComplete) {
    this->Complete(this->reader.TakeAnswer());
    return;
  }
  this->Abort(model::AttemptResult::kBroken);
}

void WorkerConnection::Complete(Answer answer) {
  // An answer before the whole request was written, or surplus bytes after the
  // answer, leave the connection in no state to be used again.
  const bool is_reusable =
      this->reader.IsKeepAlive() && !this->is_writing && this->inbox.IsEmpty();
  this->idle_since = std::chrono::steady_clock::now();
  const auto complete = std::exchange(this->on_complete, nullptr);
  if (!is_reusable) {
    this->is_closed = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
  complete(model::AttemptResult::kAnswered, std::move(answer));
  if (!is_reusable && this->on_closed) {
    std::exchange(this->on_closed, nullptr)();
  }
}

}  // namespace burdockwheel::http
