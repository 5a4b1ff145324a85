// One HTTP request that a stand-in has received, and the way to answer it.
#pragma once

#include <functional>
#include <string_view>

#include "stand_ins/common/http_answer.h"

namespace burdockwheel::stand_ins {

// Used on the thread of the server's event loop only. The views stay valid
// until the request is answered or its connection is closed.
class HttpExchange {
 public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  virtual std::string_view Method() const = 0;
  virtual std::string_view Target() const = 0;
  // Returns an empty view if the request has no such field.
  virtual std::string_view Field(std::string_view name) const = 0;
  virtual std::string_view Body() const = 0;
  // The IP number that the connection came from.
  virtual std::string PeerAddress() const = 0;

  // Sends the answer; at most once for each exchange.
  virtual void Answer(HttpAnswer answer) = 0;

  // Calls `on_closed` once if the peer closes the connection before the answer
  // is sent.
  virtual void WatchClose(std::function<void()> on_closed) = 0;

  // Closes the connection without an answer.
  virtual void Abandon() = 0;
};

}  // namespace burdockwheel::stand_ins
