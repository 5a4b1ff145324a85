// How the worker of a test ends its connection.
#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <boost/system/error_code.hpp>

namespace burdockwheel::http::testing {

enum class ConnectionEnding {
  kClose,           // of its own side; it can still read
  kCloseThenReset,  // the reset follows the close at once
  kReset,
};

inline void EndConnection(boost::asio::ip::tcp::socket& socket,
                          ConnectionEnding ending) {
  using Socket = boost::asio::ip::tcp::socket;
  boost::system::error_code ignored;
  if (ending != ConnectionEnding::kReset)
    socket.shutdown(Socket::shutdown_send, ignored);
  if (ending == ConnectionEnding::kClose) return;
  // A close with a linger time of zero sends a reset.
  socket.set_option(Socket::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace burdockwheel::http::testing
