#include "review/stand_ins_2/relay.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <chrono>
#include <utility>

namespace burdockwheel::review {

using boost::asio::ip::tcp;

class Relay::Link : public std::enable_shared_from_this<Link> {
 public:
  Link(tcp::socket caller, boost::asio::io_context& context,
       std::shared_ptr<bool> is_cut, std::shared_ptr<std::size_t> rate)
      : caller(std::move(caller)),
        server(context),
        link_timer(context),
        is_cut(std::move(is_cut)),
        rate(std::move(rate)) {}

  void Start(const tcp::endpoint& target) {
    this->target = target;
    this->Resume();
  }

  // Begins what has not begun, and goes on with what the cut has stopped.
  void Resume() {
    if (*this->is_cut || this->is_closed) return;
    if (!this->is_connecting) {
      this->is_connecting = true;
      this->server.async_connect(
          this->target, [self = this->shared_from_this()](
                            const boost::system::error_code& error) {
            if (error) return self->Close();
            self->is_connected = true;
            self->Pump(self->up, self->caller, self->server);
            self->Pump(self->down, self->server, self->caller);
          });
      return;
    }
    if (!this->is_connected) return;
    this->Pump(this->up, this->caller, this->server);
    this->Pump(this->down, this->server, this->caller);
  }

  bool IsClosed() const { return this->is_closed; }

  void Close() {
    this->is_closed = true;
    boost::system::error_code ignored;
    this->caller.close(ignored);
    this->server.close(ignored);
  }

 private:
  struct Direction {
    std::array<char, 16384> chunk{};
    std::size_t held = 0;
    bool is_busy = false;
  };

  void Pump(Direction& way, tcp::socket& from, tcp::socket& to) {
    if (way.is_busy || *this->is_cut || this->is_closed) return;
    way.is_busy = true;
    if (way.held > 0) return this->Deliver(way, from, to);
    from.async_read_some(
        boost::asio::buffer(way.chunk),
        [self = this->shared_from_this(), &way, &from, &to](
            const boost::system::error_code& error, std::size_t size) {
          way.is_busy = false;
          if (error) return self->Close();
          way.held = size;
          self->Pump(way, from, to);
        });
  }

  void Deliver(Direction& way, tcp::socket& from, tcp::socket& to) {
    boost::asio::async_write(
        to, boost::asio::buffer(way.chunk.data(), way.held),
        [self = this->shared_from_this(), &way, &from, &to](
            const boost::system::error_code& error, std::size_t /*size*/) {
          const auto sent = std::exchange(way.held, 0);
          if (error) return self->Close();
          if (&way == &self->down && *self->rate > 0)
            return self->OccupyLink(sent);
          way.is_busy = false;
          self->Pump(way, from, to);
        });
  }

  // Waits for as long as these bytes take on the link.
  void OccupyLink(std::size_t bytes) {
    this->link_timer.expires_after(
        std::chrono::microseconds(1'000'000 * bytes / *this->rate));
    this->link_timer.async_wait([self = this->shared_from_this()](
                                    const boost::system::error_code& error) {
      if (error) return;
      self->down.is_busy = false;
      self->Pump(self->down, self->server, self->caller);
    });
  }

  tcp::socket caller;
  tcp::socket server;
  boost::asio::steady_timer link_timer;
  tcp::endpoint target;
  std::shared_ptr<bool> is_cut;
  std::shared_ptr<std::size_t> rate;
  Direction up;
  Direction down;
  bool is_connecting = false;
  bool is_connected = false;
  bool is_closed = false;
};

Relay::Relay(boost::asio::io_context& context, std::uint16_t to_port)
    : context(context),
      acceptor(context,
               tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      target(boost::asio::ip::address_v4::loopback(), to_port),
      port(this->acceptor.local_endpoint().port()) {
  this->Accept();
}

Relay::~Relay() {
  for (const auto& link : this->links) link->Close();
}

void Relay::SetCut(bool is_cut) {
  *this->is_cut = is_cut;
  if (is_cut) return;
  for (const auto& link : this->links) link->Resume();
}

void Relay::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) return;
        const auto link = std::make_shared<Link>(
            std::move(socket), this->context, this->is_cut, this->rate);
        std::erase_if(this->links,
                      [](const auto& each) { return each->IsClosed(); });
        this->links.push_back(link);
        link->Start(this->target);
        this->Accept();
      });
}

}  // namespace burdockwheel::review
