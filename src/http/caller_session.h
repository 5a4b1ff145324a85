// One connection of a caller.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "http/body_budget.h"
#include "http/delivery_budget.h"
#include "http/exchange.h"
#include "http/read_buffer.h"
#include "http/request_reader.h"
#include "kernel/instant.h"
#include "model/refusal.h"

namespace burdockwheel::http {

// What a connection tells whoever serves it.
struct SessionHooks {
  // Takes each request that a caller sends.
  std::function<void(std::shared_ptr<Exchange>)> on_request;
  // Told of bytes that were no request and were answered with `status`, or of
  // a connection that was not taken (0); may be null.
  std::function<void(const std::string& caller, int status)> on_rejected;
  // Bounds the bodies that all sessions hold; null: nothing does. Must outlive
  // the sessions.
  BodyBudget* body_budget = nullptr;
  // Bounds the answers that all sessions hold for their callers to read; as
  // above.
  DeliveryBudget* delivery_budget = nullptr;
};

// The limits of a caller's connection.
struct SessionLimits {
  ReadLimits read;
  // From the first byte of a request to the end of its header.
  std::chrono::milliseconds header_timeout{10'000};
  // Between two parts of a body.
  std::chrono::milliseconds body_timeout{10'000};
  std::chrono::milliseconds idle_timeout{75'000};  // between requests
  // Between two parts of an answer that the caller takes.
  std::chrono::milliseconds write_timeout{30'000};
};

// Reads requests one after the other and writes their answers in order. A
// request is handed on only when it is whole and the one before is answered.
class CallerSession : public std::enable_shared_from_this<CallerSession> {
 public:
  CallerSession(boost::asio::ip::tcp::socket socket,
                const SessionLimits& limits, const SessionHooks& hooks);

  void Start(kernel::Instant now);

  // Closes the connection if it has been slow or idle for too long.
  void CloseIfOverdue(kernel::Instant now);

  // Lets the next answer be the connection's last and say so, which moves the
  // caller to another host without losing a request.
  void AnnounceClose() { this->is_last_request = true; }

  // Ends the connection once the present request, if any, is answered.
  void CloseWhenIdle();

  // Ends the connection as its listener ends: nobody is told, since whoever
  // answers may be gone too.
  void EndWithListener();
  bool IsClosed() const { return this->is_closed; }
  bool HasOpenRequest() const { return this->exchange != nullptr; }

 private:
  void Close();
  void CloseSocket();
  void Read();
  void OnRead(std::size_t size);
  void OnReadEnded();
  void ParseInbox();
  void RejectInbox(int status);
  void RejectInbox(int status, const model::Refusal& refusal);
  void RejectForMemory();
  // Reserves memory for the body of the request that is being read.
  bool TryHoldBody();
  // Ends the connection once the caller has read the answer, or soon: a close
  // with unread bytes resets it, and the answer is lost (RFC 9112, 9.6).
  void Linger();
  void DispatchRequest();
  void OnAnswer(const Answer& answer);
  void BeginWrite();
  void WriteRest();
  void EndWrite(bool is_whole);
  void OnWritten();
  void WriteContinue();

  boost::asio::ip::tcp::socket socket;
  const SessionLimits& limits;
  const SessionHooks& hooks;
  RequestReader reader;
  ReadBuffer inbox;
  std::string outbox;
  std::size_t written_bytes = 0;  // of the outbox
  std::optional<DeliveryBudget::Share> delivery;
  std::shared_ptr<Exchange> exchange;  // the request that is being answered
  std::shared_ptr<Exchange> answered;  // whose answer is being written
  kernel::Instant state_since;
  kernel::Instant header_at;  // when the present request's header was whole
  std::optional<BodyBudget::Reservation> held_body;
  bool is_reading = false;
  bool is_writing = false;
  bool is_answer_to_head = false;
  bool is_last_request = false;     // the next answer says that it is the last
  bool has_said_close = false;      // an answer has said so
  bool has_caller_ended = false;    // nobody reads what is still written
  bool has_unread_request = false;  // was refused before it was read whole
  bool is_lingering = false;
  bool is_closed = false;
};

}  // namespace burdockwheel::http
