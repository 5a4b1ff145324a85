// One TCP connection of a stream relay.
#pragma once

#include <array>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstddef>
#include <functional>
#include <memory>

#include "stand_ins/soak/stream_relay.h"

namespace burdockwheel::stand_ins {

class RelayedConnection
    : public std::enable_shared_from_this<RelayedConnection> {
 public:
  using OnClosed =
      std::function<void(const std::shared_ptr<RelayedConnection>&)>;

  // `flow` must stay valid until the connection is closed.
  RelayedConnection(boost::asio::io_context& context,
                    boost::asio::ip::tcp::socket accepted,
                    const RelayFlow& flow, OnClosed on_closed);

  void Start(const boost::asio::ip::tcp::endpoint& target);
  // Passes on what was held, if it may pass now.
  void FlowChanged();
  void Deaden() { this->is_dead = true; }
  void Reset();
  void Close();

 private:
  struct Direction {
    Direction(boost::asio::io_context& context, bool is_forth)
        : delay(context), is_forth(is_forth) {}

    boost::asio::steady_timer delay;
    bool is_forth;
    std::array<char, 16384> buffer{};
    std::size_t held = 0;  // bytes that wait until they may pass
    bool is_waiting = false;
  };

  void Read(Direction& direction);
  void PassOn(Direction& direction);
  void Write(Direction& direction);
  bool MayPass(const Direction& direction) const;

  boost::asio::ip::tcp::socket accepted;
  boost::asio::ip::tcp::socket connected;
  const RelayFlow& flow;
  OnClosed on_closed;
  Direction forth;
  Direction back;
  bool is_dead = false;
};

}  // namespace burdockwheel::stand_ins
