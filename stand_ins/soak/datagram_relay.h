// Passes datagrams on to one loopback address, as a test allows.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>
#include <chrono>
#include <cstddef>
#include <string>

namespace burdockwheel::stand_ins {

// Runs on the io_context's thread.
class DatagramRelay {
 public:
  DatagramRelay(boost::asio::io_context& context, const std::string& listen,
                const std::string& target);

  // Whether datagrams are dropped.
  void SetDeaf(bool is_deaf_now) { this->is_deaf = is_deaf_now; }
  void SetDelay(std::chrono::milliseconds delay_now) {
    this->delay = delay_now;
  }

 private:
  void Receive();

  boost::asio::io_context& context;
  boost::asio::ip::udp::socket socket;
  boost::asio::ip::udp::endpoint target;
  boost::asio::ip::udp::endpoint sender;
  std::array<char, 65536> buffer{};
  bool is_deaf = false;
  std::chrono::milliseconds delay{0};
};

}  // namespace burdockwheel::stand_ins
