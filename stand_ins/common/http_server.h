// A small HTTP/1.1 server for the stand-ins, on Boost.Asio and Boost.Beast.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "kernel/result.h"

namespace boost::asio {
class io_context;
}  // namespace boost::asio

namespace burdockwheel::stand_ins {

class HttpExchange;

// Counts of a server's connections.
struct ConnectionCounts {
  int open = 0;
  int most_open = 0;
  std::int64_t accepted = 0;
};

enum class ListenFailure { kBadAddress, kAddressNotAvailable };

// Receives requests on one address, one request of a connection at a time.
class HttpServer {
 public:
  using Handler = std::function<void(const std::shared_ptr<HttpExchange>&)>;

  HttpServer(boost::asio::io_context& context, Handler handler);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  // Begins to listen at `address`, such as "127.0.0.1:9001". Returns the port.
  [[nodiscard]] kernel::Result<std::uint16_t, ListenFailure> TryListen(
      const std::string& address);

  // Closes the listening socket; connections that are open stay.
  void StopListening();

  // Closes every open connection at once.
  void CloseConnections();

  ConnectionCounts Connections() const;

 private:
  class State;
  std::shared_ptr<State> state;
};

}  // namespace burdockwheel::stand_ins
