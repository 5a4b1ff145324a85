#include "http/worker_connection.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/completion_condition.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/write.hpp>
#include <charconv>
#include <string_view>
#include <utility>

#include "http/buffer_release.h"

namespace burdockwheel::http {

namespace {

constexpr std::size_t kReadSize = std::size_t{8} * 1024;

// A connection that has gone silent without a reset shows by unanswered
// keep-alive probes: the first after this many seconds without traffic,
constexpr int kKeepAliveIdleSeconds = 2;
// further ones at this distance,
constexpr int kKeepAliveIntervalSeconds = 1;
// and the connection ends after this many without an answer.
constexpr int kKeepAliveProbes = 2;

// The share of the time that the peer keeps an idle connection for which it is
// used here; the rest covers the way of the request.
constexpr double kKeptShare = 0.75;

// Most answers are smaller, and are not worth counting: a few megabytes for all
// connections of a host.
constexpr std::size_t kUncountedBytes = std::size_t{16} * 1024;

// The most refused requests that a connection remembers before it ends.
constexpr std::size_t kMaxRefusedIds = 32;

void ProbeSilence(boost::asio::ip::tcp::socket& socket) {
  const int on = 1;
  const int handle = socket.native_handle();
  // A failure leaves silent connections to the time-outs of the requests.
  setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
             sizeof(kKeepAliveIdleSeconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
             sizeof(kKeepAliveIntervalSeconds));
  setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbes,
             sizeof(kKeepAliveProbes));
}

// Returns the parameter "timeout" of a Keep-Alive header (RFC 2068, 19.7.1.1).
std::optional<std::chrono::seconds> KeptForOrNull(
    const std::vector<Header>& headers) {
  constexpr std::string_view kParameter = "timeout=";
  const auto* value = HeaderOrNull(headers, "Keep-Alive");
  if (value == nullptr) return std::nullopt;
  const auto start = value->find(kParameter);
  if (start == std::string::npos) return std::nullopt;
  int seconds = 0;
  const auto* const first = value->data() + start + kParameter.size();
  const auto parsed =
      std::from_chars(first, value->data() + value->size(), seconds);
  if (parsed.ec != std::errc() || seconds < 0) return std::nullopt;
  return std::chrono::seconds(seconds);
}

model::AttemptResult ResultOf(AnswerKind kind) {
  switch (kind) {
    case AnswerKind::kOwn:
      return model::AttemptResult::kAnswered;
    case AnswerKind::kNotRun:
      return model::AttemptResult::kRefused;
    case AnswerKind::kWrongWorker:
      return model::AttemptResult::kMisdirected;
    case AnswerKind::kForeign:
    case AnswerKind::kCorrupt:
      return model::AttemptResult::kBroken;
  }
  return model::AttemptResult::kBroken;
}

}  // namespace

WorkerConnection::WorkerConnection(const ConnectionContext& shared,
                                   ClosedHandler on_closed)
    : shared(shared),
      socket(shared.context),
      on_closed(std::move(on_closed)),
      reader(shared.most_answer_bytes) {}

void WorkerConnection::Connect(const boost::asio::ip::tcp::endpoint& endpoint) {
  this->connect_deadline = this->shared.deadlines.Add(
      std::chrono::steady_clock::now() + this->shared.connect_timeout,
      [weak_self = this->weak_from_this()] {
        const auto self = weak_self.lock();
        if (!self) return;
        // The queue has dropped the entry that called this.
        self->connect_deadline.reset();
        self->Abort(model::AttemptResult::kNotSent,
                    model::BreakCause::kConnectTimeout);
      });
  this->socket.async_connect(endpoint,
                             [self = this->shared_from_this()](
                                 const boost::system::error_code& error) {
                               self->OnConnected(error);
                             });
}

void WorkerConnection::OnConnected(const boost::system::error_code& error) {
  if (this->is_closed) return;
  this->CancelConnectTimeout();
  if (error) {
    this->Abort(model::AttemptResult::kNotSent,
                model::BreakCause::kConnectRefused);
    return;
  }
  this->is_connected = true;
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  ProbeSilence(this->socket);
  this->Read();
  if (this->on_complete) this->Write();
}

void WorkerConnection::Send(OutgoingRequest request,
                            CompletionHandler on_complete) {
  this->on_complete = std::move(on_complete);
  this->outgoing = std::move(request);
  this->has_written = false;
  this->received_bytes = 0;
  this->received_at = std::chrono::steady_clock::now();
  this->reader.Begin(this->outgoing.is_head);
  if (this->is_connected) this->Write();
}

bool WorkerConnection::IsKept(kernel::Instant now) const {
  if (!this->kept_for) return true;
  const std::chrono::duration<double> kept = *this->kept_for;
  return now - this->idle_since < kKeptShare * kept;
}

void WorkerConnection::Abort(model::AttemptResult reason,
                             model::BreakCause cause) {
  if (this->is_closed) return;
  this->is_closed = true;
  this->held_bytes.reset();
  this->CancelConnectTimeout();
  boost::system::error_code ignored;
  this->socket.close(ignored);
  if (this->on_complete) {
    // Nothing was handed to the socket, so the worker cannot have run it.
    const auto result =
        this->has_written ? reason : model::AttemptResult::kNotSent;
    std::exchange(this->on_complete, nullptr)({result, cause, Answer()});
  }
  if (this->on_closed) std::exchange(this->on_closed, nullptr)();
}

void WorkerConnection::CancelConnectTimeout() {
  if (!this->connect_deadline) return;
  this->shared.deadlines.Cancel(*this->connect_deadline);
  this->connect_deadline.reset();
}

void WorkerConnection::Write() {
  this->has_written = true;
  this->is_writing = true;
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->outgoing.bytes),
      [this](const boost::system::error_code& error, std::size_t written) {
        // The worker's side has ended, and its answer with it.
        if (this->has_peer_ended) return std::size_t{0};
        return boost::asio::transfer_all()(error, written);
      },
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t /*size*/) {
        // A failed write is left to the read side: the worker may have
        // answered before it closed its side.
        self->is_writing = false;
        self->write_error = error;
        if (self->has_peer_ended && !self->is_closed) self->OnPeerEnded();
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
          self->OnEnd(error);
          return;
        }
        self->OnRead(size);
        self->Read();
      });
}

void WorkerConnection::OnRead(std::size_t size) {
  // Bytes that no request asked for cannot belong to a later one.
  if (!this->on_complete || !this->has_written) {
    this->Abort(model::AttemptResult::kBroken, model::BreakCause::kSurplus);
    return;
  }
  this->received_bytes += size;
  this->received_at = std::chrono::steady_clock::now();
  if (this->on_arrival) this->on_arrival(this->received_bytes);
  this->inbox.Commit(size);
  this->CountBytes();
  if (this->is_closed) return;
  while (this->on_complete && !this->inbox.IsEmpty()) {
    std::size_t consumed = 0;
    const auto state = this->reader.Feed(this->inbox.View(), consumed);
    this->inbox.Consume(consumed);
    if (state == AnswerState::kNeedsMore) return;
    if (state != AnswerState::kComplete) {
      this->Abort(model::AttemptResult::kBroken,
                  state == AnswerState::kTooLarge
                      ? model::BreakCause::kTooLarge
                      : model::BreakCause::kMalformed);
      return;
    }
    this->TakeAnswer();
    if (this->is_closed) return;
  }
}

void WorkerConnection::CountBytes() {
  const bool is_counted = this->shared.answer_budget != nullptr &&
                          this->received_bytes > kUncountedBytes;
  if (!is_counted) return;
  if (!this->held_bytes) {
    this->held_bytes.emplace(*this->shared.answer_budget, [this] {
      this->Abort(model::AttemptResult::kCancelled,
                  model::BreakCause::kNoMemory);
    });
  }
  this->held_bytes->Raise(this->received_bytes);
}

void WorkerConnection::OnEnd(const boost::system::error_code& error) {
  if (error != boost::asio::error::eof) {
    this->Abort(model::AttemptResult::kBroken, model::BreakCause::kReset);
    return;
  }
  this->has_peer_ended = true;
  if (!this->is_writing) {
    this->OnPeerEnded();
    return;
  }
  // How the write ends tells whether the connection was reset.
  boost::system::error_code ignored;
  this->socket.cancel(ignored);
}

// A socket reports a reset once. If a write takes the report, the read side
// sees an end like that of an orderly close. Once the worker has closed its
// side, a reset fails the write as a broken pipe instead.
bool WorkerConnection::WasResetAtWrite() const {
  return this->write_error &&
         this->write_error != boost::asio::error::broken_pipe &&
         this->write_error != boost::asio::error::operation_aborted;
}

void WorkerConnection::OnPeerEnded() {
  // An answer without a length ends with its connection, but one whose
  // connection was reset is not complete (RFC 9112, section 8).
  const bool is_orderly = !this->WasResetAtWrite();
  if (is_orderly && this->on_complete && this->has_written &&
      this->reader.FeedEnd() == AnswerState::kComplete) {
    this->is_tainted = true;
    this->TakeAnswer();
  }
  this->Abort(model::AttemptResult::kBroken, is_orderly
                                                 ? model::BreakCause::kClosed
                                                 : model::BreakCause::kReset);
}

void WorkerConnection::TakeAnswer() {
  Answer answer = this->reader.TakeAnswer();
  const auto kind =
      this->shared.conventions.judge_answer(answer, this->outgoing.request_id);
  if (kind == AnswerKind::kForeign) {
    // A late second answer to an earlier request: the own one may follow.
    this->is_tainted = true;
    this->reader.Begin(this->outgoing.is_head);
    return;
  }
  if (kind == AnswerKind::kCorrupt) {
    this->Abort(model::AttemptResult::kBroken, model::BreakCause::kCorrupt);
    return;
  }
  const bool is_refusal =
      kind == AnswerKind::kNotRun || kind == AnswerKind::kWrongWorker;
  if (is_refusal) this->NoteRefusal(answer);
  this->Complete(ResultOf(kind), std::move(answer));
}

bool WorkerConnection::HasRefused(const std::string& request_id) const {
  return std::ranges::count(this->refused_ids, request_id) > 0;
}

// A refusal that is written once more must not be taken for the answer to a
// later request, which the worker may be running. Only its id tells it apart.
void WorkerConnection::NoteRefusal(const Answer& answer) {
  const auto& conventions = this->shared.conventions;
  const bool has_id =
      conventions.is_answer_id_judged &&
      HeaderOrNull(answer.headers, conventions.request_id_header) != nullptr;
  if (!has_id || this->refused_ids.size() == kMaxRefusedIds) {
    this->is_tainted = true;
    return;
  }
  this->refused_ids.push_back(this->outgoing.request_id);
}

void WorkerConnection::Complete(model::AttemptResult result, Answer answer) {
  // An answer before the whole request was written, or surplus bytes after the
  // answer, leave the connection in no state to be used again.
  const bool is_request_written = !this->is_writing && !this->write_error;
  const bool is_reusable = this->reader.IsKeepAlive() && is_request_written &&
                           !this->is_tainted && this->inbox.IsEmpty();
  this->held_bytes.reset();
  // The connection may stay idle for long after a large request.
  if (!this->is_writing) ReleaseBuffer(this->outgoing.bytes);
  this->idle_since = std::chrono::steady_clock::now();
  this->kept_for = KeptForOrNull(answer.headers);
  const auto complete = std::exchange(this->on_complete, nullptr);
  if (!is_reusable) {
    this->is_closed = true;
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }
  complete({result, model::BreakCause::kNone, std::move(answer)});
  if (!is_reusable && this->on_closed) {
    std::exchange(this->on_closed, nullptr)();
  }
}

}  // namespace burdockwheel::http
