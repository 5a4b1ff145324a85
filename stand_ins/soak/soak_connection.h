// A caller's connection, on which one request is sent at a time.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include "stand_ins/soak/promise_ledger.h"

namespace burdockwheel::stand_ins {

enum class SoakSendResult {
  kAnswered,
  kClosed,     // before the answer was whole
  kMalformed,  // the answer broke the rules of HTTP
  kNoConnection,
  kTimedOut,
};

// Runs on the io_context's thread.
class SoakConnection : public std::enable_shared_from_this<SoakConnection> {
 public:
  // `answer` is empty unless the result is kAnswered.
  using OnEnded = std::function<void(SoakSendResult, const SoakAnswer& answer)>;

  SoakConnection(boost::asio::io_context& context, const std::string& address);

  // Sends a request, connecting first if need be. Precondition: none is open.
  void Send(std::string request, std::chrono::milliseconds timeout,
            OnEnded on_ended);

  // Tells whether the next request may be sent on it.
  bool IsKept() const { return this->is_connected && this->socket.is_open(); }

  // Closes without a report.
  void Close();

 private:
  void Write();
  void Read();
  void End(SoakSendResult result);

  boost::asio::ip::tcp::endpoint endpoint;
  boost::asio::ip::tcp::socket socket;
  boost::asio::steady_timer timer;
  boost::beast::flat_buffer buffer;
  std::optional<
      boost::beast::http::response_parser<boost::beast::http::string_body>>
      parser;
  std::string request;
  OnEnded on_ended;
  bool is_connected = false;
};

}  // namespace burdockwheel::stand_ins
