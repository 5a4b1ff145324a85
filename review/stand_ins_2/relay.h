// A TCP relay that a case puts before a server.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <cstdint>
#include <memory>
#include <vector>

namespace burdockwheel::review {

// Passes bytes on both ways. While it is cut nothing passes, new connections
// included, and nothing is closed: what waits goes on after the cut, as over a
// network that was partitioned.
class Relay {
 public:
  Relay(boost::asio::io_context& context, std::uint16_t to_port);
  ~Relay();

  std::uint16_t Port() const { return this->port; }
  void SetCut(bool is_cut);
  // Lets no more pass to the callers: a machine's link. Zero: no bound.
  void SetRate(std::size_t bytes_per_second) { *this->rate = bytes_per_second; }

 private:
  class Link;

  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint target;
  std::shared_ptr<bool> is_cut = std::make_shared<bool>(false);
  std::shared_ptr<std::size_t> rate = std::make_shared<std::size_t>(0);
  std::vector<std::shared_ptr<Link>> links;
  std::uint16_t port = 0;
};

}  // namespace burdockwheel::review
