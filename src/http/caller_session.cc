#include "http/caller_session.h"

#include <boost/asio/buffer.hpp>
#include <string_view>
#include <utility>

#include "http/buffer_release.h"
#include "http/problem_document.h"
#include "http/serializer.h"

namespace burdockwheel::http {

namespace {

constexpr std::size_t kReadSize = std::size_t{8} * 1024;

// How many bytes beyond the present request are read ahead. More stay in the
// socket until the present request is answered. The reader bounds a header,
// which it takes only whole.
constexpr std::size_t kMostReadAheadBytes = std::size_t{64} * 1024;

// How long a caller may take to read the answer to a request that was refused
// before it was read whole.
constexpr std::chrono::milliseconds kLingerTimeout{1000};

// Bodies are held for about as long as calls take.
constexpr std::chrono::milliseconds kNoMemoryRetryAfter{1000};

constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";

}  // namespace

CallerSession::CallerSession(boost::asio::ip::tcp::socket socket,
                             const SessionLimits& limits,
                             const SessionHooks& hooks)
    : socket(std::move(socket)),
      limits(limits),
      hooks(hooks),
      reader(limits.read) {}

void CallerSession::Start(kernel::Instant now) {
  boost::system::error_code ignored;
  this->socket.set_option(boost::asio::ip::tcp::no_delay(true), ignored);
  this->state_since = now;
  this->Read();
}

void CallerSession::CloseIfOverdue(kernel::Instant now) {
  if (this->is_closed || this->exchange) return;
  const auto age = now - this->state_since;
  if (this->is_lingering) {
    if (age > kLingerTimeout) this->Close();
    return;
  }
  if (this->is_writing) {
    if (age > this->limits.write_timeout) this->Close();
    return;
  }
  const bool has_partial_request =
      !this->inbox.IsEmpty() || this->reader.HasStarted();
  auto timeout = this->limits.idle_timeout;
  if (has_partial_request) timeout = this->limits.header_timeout;
  if (this->reader.HasHeader()) timeout = this->limits.body_timeout;
  if (age <= timeout) return;
  if (!has_partial_request) {
    this->Close();
    return;
  }
  constexpr int kRequestTimeout = 408;
  this->RejectInbox(kRequestTimeout);
}

void CallerSession::CloseWhenIdle() {
  this->is_last_request = true;
  const bool is_idle = !this->exchange && !this->is_writing &&
                       this->inbox.IsEmpty() && !this->reader.HasStarted();
  if (is_idle) this->Close();
}

// A read is outstanding even while a request is being answered, so that the
// caller's going away is noticed at once.
void CallerSession::Read() {
  if (this->is_reading || this->is_closed) return;
  const bool awaits_header =
      !this->exchange && !this->is_writing && !this->reader.HasHeader();
  if (!awaits_header && this->inbox.Size() > kMostReadAheadBytes) return;
  this->is_reading = true;
  this->socket.async_read_some(
      this->inbox.Prepare(kReadSize),
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        self->is_reading = false;
        if (error) {
          self->OnReadEnded();
          return;
        }
        self->OnRead(size);
      });
}

void CallerSession::OnRead(std::size_t size) {
  if (this->is_closed || this->is_lingering) {
    // Bytes of a request that was refused.
    this->Read();
    return;
  }
  const bool is_first_part =
      this->inbox.IsEmpty() && !this->reader.HasStarted();
  this->inbox.Commit(size);
  const bool is_part_of_body = this->reader.HasHeader();
  if ((is_first_part || is_part_of_body) && !this->exchange &&
      !this->is_writing) {
    this->state_since = std::chrono::steady_clock::now();
  }
  this->ParseInbox();
  this->Read();
}

// The caller has closed its side. No answer can be relied on to reach it, so
// its call is given up.
void CallerSession::OnReadEnded() {
  if (this->exchange) std::exchange(this->exchange, nullptr)->Abandon();
  this->has_caller_ended = true;
  if (!this->is_writing) this->Close();
}

void CallerSession::ParseInbox() {
  if (this->exchange || this->is_writing || this->is_closed) return;
  if (this->inbox.IsEmpty()) return;
  std::size_t consumed = 0;
  if (!this->reader.HasStarted()) this->reader.SetLimits(this->limits.read);
  const bool had_header = this->reader.HasHeader();
  const auto state = this->reader.Feed(this->inbox.View(), consumed);
  if (!had_header) this->header_at = std::chrono::steady_clock::now();
  this->inbox.Consume(consumed);
  const bool may_have_body =
      state != ReadState::kFailed && this->reader.HasHeader();
  if (may_have_body && !this->TryHoldBody()) {
    this->RejectForMemory();
    return;
  }
  switch (state) {
    case ReadState::kNeedsMore:
      return;
    case ReadState::kWantsContinue:
      this->WriteContinue();
      return;
    case ReadState::kFailed:
      this->RejectInbox(this->reader.FailureStatus());
      return;
    case ReadState::kComplete:
      this->DispatchRequest();
      return;
  }
}

bool CallerSession::TryHoldBody() {
  if (this->hooks.body_budget == nullptr) return true;
  if (!this->held_body) this->held_body.emplace(*this->hooks.body_budget);
  return this->held_body->TryRaise(this->reader.BodyBytes());
}

void CallerSession::RejectForMemory() {
  constexpr int kServiceUnavailable = 503;
  this->held_body.reset();
  this->RejectInbox(kServiceUnavailable,
                    {model::RefusalReason::kOverloaded,
                     model::RunState::kNotRun, kNoMemoryRetryAfter});
}

// RFC 9110, 10.1.1: the caller waits for this before it sends the body.
void CallerSession::WriteContinue() {
  this->outbox = kContinue;
  this->BeginWrite();
}

// What follows a faulty request cannot be told apart from it, so the
// connection ends after the answer. The request may have been the resend of a
// call that has run, so nothing is said of that.
void CallerSession::RejectInbox(int status) {
  this->RejectInbox(status,
                    {model::RefusalReason::kMalformedRequest,
                     model::RunState::kUnknown, std::chrono::milliseconds(0)});
}

void CallerSession::RejectInbox(int status, const model::Refusal& refusal) {
  this->has_unread_request = true;
  this->is_last_request = true;
  this->is_answer_to_head = false;
  if (this->hooks.on_rejected) {
    boost::system::error_code unknown;
    const auto caller = this->socket.remote_endpoint(unknown);
    this->hooks.on_rejected(unknown ? "" : caller.address().to_string(),
                            status);
  }
  Answer answer =
      MakeProblemAnswer(status, refusal, "", DefaultMessageConventions());
  this->has_said_close = true;
  const AnswerFraming framing{.is_keep_alive = false};
  AppendAnswer(answer, framing, this->outbox);
  this->BeginWrite();
}

void CallerSession::DispatchRequest() {
  auto request = this->reader.TakeRequest();
  this->is_answer_to_head = request.method == "HEAD";
  if (!this->reader.IsKeepAlive()) this->is_last_request = true;
  this->exchange = std::make_shared<Exchange>(
      std::move(request),
      [weak_self = this->weak_from_this()](const Answer& answer) {
        const auto self = weak_self.lock();
        if (self) self->OnAnswer(answer);
      });
  this->exchange->begun_at = this->header_at;
  // The handler may answer at once, which resets this->exchange.
  const auto present = this->exchange;
  this->hooks.on_request(present);
}

void CallerSession::OnAnswer(const Answer& answer) {
  this->answered = std::exchange(this->exchange, nullptr);
  if (this->is_closed) return;
  this->has_said_close = this->is_last_request;
  const AnswerFraming framing{.is_keep_alive = !this->is_last_request,
                              .is_answer_to_head = this->is_answer_to_head,
                              .is_http_1_0 = this->reader.IsHttp10()};
  AppendAnswer(answer, framing, this->outbox);
  this->BeginWrite();
}

void CallerSession::BeginWrite() {
  const auto now = std::chrono::steady_clock::now();
  this->is_writing = true;
  this->state_since = now;
  this->written_bytes = 0;
  if (this->hooks.delivery_budget != nullptr) {
    this->delivery.emplace(*this->hooks.delivery_budget,
                           [this] { this->Close(); });
    this->delivery->Hold(now, this->outbox.size());
  }
  this->WriteRest();
}

// Writes in parts, so that a caller that reads slowly can be distinguished from
// one that does not read.
void CallerSession::WriteRest() {
  this->socket.async_write_some(
      boost::asio::buffer(this->outbox) + this->written_bytes,
      [self = this->shared_from_this()](const boost::system::error_code& error,
                                        std::size_t size) {
        if (error) {
          self->EndWrite(false);
          return;
        }
        self->written_bytes += size;
        if (self->written_bytes == self->outbox.size()) {
          self->EndWrite(true);
          return;
        }
        self->state_since = std::chrono::steady_clock::now();
        if (self->delivery) self->delivery->NoteProgress(self->state_since);
        self->WriteRest();
      });
}

void CallerSession::EndWrite(bool is_whole) {
  this->is_writing = false;
  this->delivery.reset();
  const auto answered = std::exchange(this->answered, nullptr);
  if (is_whole) {
    this->OnWritten();
    return;
  }
  if (answered && answered->on_undelivered) answered->on_undelivered();
  ReleaseBuffer(this->outbox);
  this->Close();
}

void CallerSession::OnWritten() {
  // The connection may stay open for long after a large answer.
  ReleaseBuffer(this->outbox);
  if (this->has_unread_request && !this->has_caller_ended) {
    this->Linger();
    return;
  }
  if (this->has_said_close || this->has_caller_ended) {
    this->Close();
    return;
  }
  if (!this->reader.HasStarted()) this->held_body.reset();
  this->state_since = std::chrono::steady_clock::now();
  this->ParseInbox();
  this->Read();
}

void CallerSession::Linger() {
  this->is_lingering = true;
  this->state_since = std::chrono::steady_clock::now();
  this->inbox.Consume(this->inbox.Size());
  boost::system::error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
  this->Read();
}

void CallerSession::Close() {
  if (this->is_closed) return;
  this->is_closed = true;
  this->held_body.reset();
  if (this->exchange) std::exchange(this->exchange, nullptr)->Abandon();
  this->CloseSocket();
}

void CallerSession::EndWithListener() {
  if (this->is_closed) return;
  this->is_closed = true;
  this->exchange = nullptr;
  this->answered = nullptr;
  // The budgets may end before the operations that hold this session.
  this->held_body.reset();
  this->delivery.reset();
  this->CloseSocket();
}

void CallerSession::CloseSocket() {
  boost::system::error_code ignored;
  this->socket.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
  this->socket.close(ignored);
}

}  // namespace burdockwheel::http
