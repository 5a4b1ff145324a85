#include "review/stand_ins_2/caller.h"

#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <cstdlib>
#include <utility>

#include "review/stand_ins_2/http_message.h"

namespace burdockwheel::review {

using boost::asio::ip::tcp;

Caller::Caller(boost::asio::io_context& context, CallerOptions options,
               std::uint16_t port, Hook on_sent, EndHook on_end)
    : socket(context),
      pause_timer(context),
      deadline_timer(context),
      options(std::move(options)),
      port(port),
      on_sent(std::move(on_sent)),
      on_end(std::move(on_end)) {}

void Caller::Start() { this->Next(); }

void Caller::Next() {
  this->pause_timer.expires_after(this->options.pause);
  this->pause_timer.async_wait(
      [self = this->shared_from_this()](const boost::system::error_code&) {
        if (self->is_stopped) return;
        if (self->is_connected) {
          self->Send();
        } else {
          self->Connect();
        }
      });
}

void Caller::Connect() {
  boost::system::error_code ignored;
  this->socket.open(tcp::v4(), ignored);
  const int handle = this->socket.native_handle();
  const auto set = [handle](int level, int name, int value) {
    if (value > 0) setsockopt(handle, level, name, &value, sizeof(value));
  };
  set(SOL_SOCKET, SO_RCVBUF, this->options.receive_buffer);
  set(IPPROTO_TCP, TCP_MAXSEG, this->options.segment_bytes);
  const auto mine = ++this->connection;
  this->socket.async_connect(
      tcp::endpoint(boost::asio::ip::address_v4::loopback(), this->port),
      [self = this->shared_from_this(),
       mine](const boost::system::error_code& error) {
        if (mine != self->connection) return;
        if (error) {
          self->Drop();
          if (!self->is_stopped) self->Next();
          return;
        }
        self->is_connected = true;
        boost::system::error_code unset;
        self->socket.set_option(tcp::no_delay(true), unset);
        self->Read();
        self->Send();
      });
}

void Caller::Send() {
  this->request_id = this->options.name + "-" + std::to_string(++this->count);
  this->is_waiting = true;
  this->sent_on_connection += 1;
  const bool is_first = this->count == 1 && !this->options.first_path.empty();
  const std::string body = is_first ? std::string() : this->options.body;
  this->outgoing =
      (is_first ? "GET " + this->options.first_path
                : this->options.method + " " + this->options.path) +
      " HTTP/1.1\r\nHost: " + this->options.host +
      "\r\nRequest-Id: " + this->request_id +
      "\r\nDeadline-Ms: " + std::to_string(this->options.deadline.count()) +
      "\r\n";
  if (!body.empty()) {
    this->outgoing += "Content-Length: " + std::to_string(body.size()) + "\r\n";
  }
  this->outgoing += "\r\n" + body;
  if (this->on_sent) this->on_sent(this->request_id);
  this->deadline_timer.expires_after(this->options.deadline);
  this->deadline_timer.async_wait([self = this->shared_from_this(),
                                   id = this->request_id](
                                      const boost::system::error_code& error) {
    if (error || !self->is_waiting || self->request_id != id) return;
    const CallEnd end{
        id, 0, false, true, self->bytes.size(), self->sent_on_connection > 1};
    self->Drop();
    self->End(end);
  });
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->outgoing),
      [self = this->shared_from_this()](const boost::system::error_code&,
                                        std::size_t) {});
}

void Caller::Read() {
  const auto mine = this->connection;
  const auto most = std::min(this->options.read_bytes, this->chunk.size());
  this->socket.async_read_some(
      boost::asio::buffer(this->chunk.data(), most),
      [self = this->shared_from_this(), mine](
          const boost::system::error_code& error, std::size_t size) {
        if (mine != self->connection) return;
        if (error) {
          const CallEnd end{self->request_id,
                            0,
                            false,
                            false,
                            self->bytes.size(),
                            self->sent_on_connection > 1};
          self->Drop();
          if (self->is_waiting) self->End(end);
          return;
        }
        self->bytes.append(self->chunk.data(), size);
        self->OnBytes();
        if (mine != self->connection) return;
        if (self->options.read_pause.count() == 0) return self->Read();
        const auto timer = std::make_shared<boost::asio::steady_timer>(
            self->socket.get_executor());
        timer->expires_after(self->options.read_pause);
        timer->async_wait(
            [self, mine, timer](const boost::system::error_code&) {
              if (mine == self->connection) self->Read();
            });
      });
}

void Caller::OnBytes() {
  const auto got = this->bytes.size();
  const auto answer = TakeMessage(this->bytes);
  if (!answer) return;
  const CallEnd end{this->request_id,
                    std::atoi(answer->SecondWord().c_str()),
                    true,
                    false,
                    got,
                    this->sent_on_connection > 1};
  const auto* connection_header = answer->HeaderOrNull("Connection");
  if (connection_header != nullptr && *connection_header == "close")
    this->Drop();
  this->End(end);
}

void Caller::End(const CallEnd& end) {
  this->is_waiting = false;
  this->deadline_timer.cancel();
  if (this->on_end) this->on_end(end);
  if (!this->is_stopped) this->Next();
}

void Caller::Drop() {
  ++this->connection;
  this->is_connected = false;
  this->sent_on_connection = 0;
  this->bytes.clear();
  boost::system::error_code ignored;
  this->socket.close(ignored);
}

}  // namespace burdockwheel::review
