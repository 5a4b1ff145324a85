// One request of a caller and the one answer to it.
#pragma once

#include <chrono>
#include <functional>
#include <utility>

#include "http/message.h"
#include "kernel/instant.h"

namespace burdockwheel::http {

// Joins a caller's session with whoever answers the request. The first answer
// counts; an answer after the caller has gone is dropped.
class Exchange {
 public:
  using Responder = std::function<void(Answer)>;

  Exchange(Request request, Responder responder)
      : request(std::move(request)), responder(std::move(responder)) {}

  Request request;

  // When the header of the request was whole. A caller counts its deadline from
  // about then, however long it takes to send the body.
  kernel::Instant begun_at = std::chrono::steady_clock::now();

  // Called once if the caller goes away before the answer.
  std::function<void()> on_caller_gone;

  // Called once if the answer could not be written whole.
  std::function<void()> on_undelivered;

  void Respond(Answer answer) {
    if (!this->responder) return;
    const auto respond = std::exchange(this->responder, nullptr);
    this->on_caller_gone = nullptr;
    respond(std::move(answer));
  }

  // Tells that the caller has gone away.
  void Abandon() {
    if (!this->responder) return;
    this->responder = nullptr;
    const auto notify = std::exchange(this->on_caller_gone, nullptr);
    if (notify) notify();
  }

  bool IsOpen() const { return this->responder != nullptr; }

 private:
  Responder responder;
};

}  // namespace burdockwheel::http
