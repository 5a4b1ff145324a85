// Passes TCP connections on to one loopback address, as a test allows.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>
#include <string>
#include <unordered_set>

namespace burdockwheel::stand_ins {

class RelayedConnection;

// What passes from one side to the other. What does not pass is held, as by a
// network that loses it and sends it again.
struct RelayFlow {
  bool is_forth_open = true;  // from whoever connected
  bool is_back_open = true;
  std::chrono::milliseconds delay{0};  // of each read, either way
};

// Runs on the io_context's thread.
class StreamRelay {
 public:
  StreamRelay(boost::asio::io_context& context, const std::string& listen,
              const std::string& target);
  StreamRelay(const StreamRelay&) = delete;
  StreamRelay& operator=(const StreamRelay&) = delete;
  ~StreamRelay();

  void SetFlow(const RelayFlow& flow_now);
  // Closes every open connection with a reset.
  void ResetAll();
  // Lets nothing more pass on the connections that are open now.
  void DeadenAll();

 private:
  void Accept();

  boost::asio::io_context& context;
  boost::asio::ip::tcp::acceptor acceptor;
  boost::asio::ip::tcp::endpoint target;
  RelayFlow flow;
  std::unordered_set<std::shared_ptr<RelayedConnection>> connections;
};

}  // namespace burdockwheel::stand_ins
