#include "stand_ins/soak/relayed_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/error.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace burdockwheel::stand_ins {

using boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

RelayedConnection::RelayedConnection(boost::asio::io_context& context,
                                     Tcp::socket accepted,
                                     const RelayFlow& flow, OnClosed on_closed)
    : accepted(std::move(accepted)),
      connected(context),
      flow(flow),
      on_closed(std::move(on_closed)),
      forth(context, true),
      back(context, false) {}

void RelayedConnection::Start(const Tcp::endpoint& target) {
  this->connected.async_connect(
      target, [self = this->shared_from_this()](const error_code& error) {
        if (error) return self->Reset();
        error_code ignored;
        self->accepted.set_option(Tcp::no_delay(true), ignored);
        self->connected.set_option(Tcp::no_delay(true), ignored);
        self->Read(self->forth);
        self->Read(self->back);
      });
}

void RelayedConnection::Read(Direction& direction) {
  auto& from = direction.is_forth ? this->accepted : this->connected;
  from.async_read_some(
      boost::asio::buffer(direction.buffer),
      [self = this->shared_from_this(), &direction](const error_code& error,
                                                    std::size_t size) {
        if (error == boost::asio::error::eof) return self->Close();
        if (error) return self->Reset();
        direction.held = size;
        direction.delay.expires_after(self->flow.delay);
        direction.delay.async_wait([self, &direction](const error_code& late) {
          if (!late) self->PassOn(direction);
        });
      });
}

bool RelayedConnection::MayPass(const Direction& direction) const {
  if (this->is_dead) return false;
  return direction.is_forth ? this->flow.is_forth_open
                            : this->flow.is_back_open;
}

void RelayedConnection::PassOn(Direction& direction) {
  direction.is_waiting = !this->MayPass(direction);
  if (!direction.is_waiting) this->Write(direction);
}

void RelayedConnection::FlowChanged() {
  for (Direction* direction : {&this->forth, &this->back}) {
    if (direction->is_waiting) this->PassOn(*direction);
  }
}

void RelayedConnection::Write(Direction& direction) {
  auto& to = direction.is_forth ? this->connected : this->accepted;
  boost::asio::async_write(
      to, boost::asio::buffer(direction.buffer.data(), direction.held),
      [self = this->shared_from_this(), &direction](const error_code& error,
                                                    std::size_t /*size*/) {
        // The peer has closed its side in order; what it sent before goes on.
        if (error == boost::asio::error::broken_pipe) return;
        if (error) return self->Reset();
        self->Read(direction);
      });
}

void RelayedConnection::Reset() {
  error_code ignored;
  // A close with a linger time of zero sends a reset.
  const boost::asio::socket_base::linger at_once(true, 0);
  this->accepted.set_option(at_once, ignored);
  this->connected.set_option(at_once, ignored);
  this->Close();
}

void RelayedConnection::Close() {
  error_code ignored;
  this->accepted.close(ignored);
  this->connected.close(ignored);
  this->forth.delay.cancel();
  this->back.delay.cancel();
  const auto report = std::exchange(this->on_closed, {});
  if (report) report(this->shared_from_this());
}

}  // namespace burdockwheel::stand_ins
