// A small HTTP server for the stand-ins of the second review.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "review/stand_ins_2/http_message.h"

namespace burdockwheel::review {

// Listens at a free port of 127.0.0.1 and hands each request on; a connection
// serves one request at a time.
class HttpListener {
 public:
  class Connection;

  // One request that waits for its answer.
  struct Exchange {
    HttpMessage request;
    // Writes the bytes of the answer; an empty text ends the connection. Does
    // nothing once the connection has ended.
    std::function<void(const std::string& bytes)> respond;
    // Tells whether the caller's connection is still there.
    std::function<bool()> is_open;
  };
  using Handler = std::function<void(const std::shared_ptr<Exchange>&)>;

  HttpListener(boost::asio::io_context& context, Handler handler);
  ~HttpListener();

  std::uint16_t Port() const { return this->port; }

  // Ends all connections; the port is given back.
  void Close();

 private:
  void Accept();

  boost::asio::ip::tcp::acceptor acceptor;
  std::shared_ptr<Handler> handler;
  std::set<std::shared_ptr<Connection>> connections;
  std::uint16_t port = 0;
};

}  // namespace burdockwheel::review
