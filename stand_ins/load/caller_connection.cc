#include "stand_ins/load/caller_connection.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <boost/asio/connect.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <cstdlib>
#include <optional>
#include <string_view>

#include "stand_ins/common/read_answer.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;
using boost::system::error_code;
using BeastView = boost::beast::string_view;

// Bodies are checked and dropped as they come, so that a long one costs no
// memory.
constexpr std::uint64_t kMostAnswerBytes = 1ULL << 40;

std::string_view FromBeast(BeastView text) {
  return {text.data(), text.size()};
}

// Hands an answer to an AnswerCheck without keeping it.
class CheckingParser final : public http::basic_parser<false> {
 public:
  explicit CheckingParser(AnswerCheck* check) : check(check) {}

 private:
  void on_request_impl(http::verb, BeastView, BeastView, int,
                       error_code&) override {}
  void on_response_impl(int code, BeastView, int, error_code&) override {
    this->check->SetStatus(code);
  }
  void on_field_impl(http::field, BeastView name, BeastView value,
                     error_code&) override {
    this->check->ReadField(FromBeast(name), FromBeast(value));
  }
  void on_header_impl(error_code&) override {}
  void on_body_init_impl(const boost::optional<std::uint64_t>&,
                         error_code&) override {}
  std::size_t on_body_impl(BeastView body, error_code&) override {
    this->check->ReadBody(FromBeast(body));
    return body.size();
  }
  void on_chunk_header_impl(std::uint64_t, BeastView, error_code&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, BeastView body,
                                 error_code&) override {
    this->check->ReadBody(FromBeast(body));
    return body.size();
  }
  void on_finish_impl(error_code&) override {}

  AnswerCheck* check;
};

Tcp::endpoint EndpointOf(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  const int port =
      colon == std::string::npos ? 0 : std::atoi(address.c_str() + colon + 1);
  return {ip, static_cast<std::uint16_t>(port)};
}

class TcpCallerConnection final : public CallerConnection {
 public:
  TcpCallerConnection(asio::io_context& context, const std::string& address,
                      OnEnded on_ended)
      : endpoint(EndpointOf(address)),
        on_ended(std::move(on_ended)),
        socket(context) {}

  void Send(PendingSend new_send) override {
    this->send = std::move(new_send);
    if (this->is_connected) return this->Write();
    this->socket.async_connect(
        this->endpoint, [self = this->Self()](const error_code& error) {
          if (!self->send) return;
          if (error) return self->End(SendResult::kConnectFailed);
          error_code ignored;
          self->socket.set_option(Tcp::no_delay(true), ignored);
          self->is_connected = true;
          self->Write();
        });
  }

  bool IsReusable() const override {
    return this->is_connected && this->socket.is_open();
  }

  void EndIfLate(kernel::Instant now) override {
    if (!this->send || this->send->deadline > now) return;
    this->End(this->is_connected ? SendResult::kTimedOut
                                 : SendResult::kConnectFailed);
  }

 private:
  std::shared_ptr<TcpCallerConnection> Self() {
    return std::static_pointer_cast<TcpCallerConnection>(
        this->shared_from_this());
  }

  void Write() {
    asio::async_write(
        this->socket, asio::buffer(this->send->request),
        [self = this->Self()](const error_code& error, std::size_t) {
          if (!self->send) return;
          if (error) return self->End(SendResult::kLost);
          self->Read();
        });
  }

  void Read() {
    this->parser.emplace(&this->send->check);
    this->parser->skip(this->send->is_head);
    this->parser->body_limit(kMostAnswerBytes);
    ReadAnswer(this->socket, this->buffer, *this->parser,
               [self = this->Self()](const error_code& error) {
                 if (!self->send) return;
                 if (IsMalformed(error))
                   return self->End(SendResult::kMalformed);
                 if (error) return self->End(SendResult::kLost);
                 self->End(SendResult::kAnswered);
               });
  }

  void End(SendResult result) {
    const bool is_kept =
        result == SendResult::kAnswered && this->parser->keep_alive();
    if (!is_kept) {
      error_code ignored;
      this->socket.close(ignored);
    }
    PendingSend ended = std::move(*this->send);
    this->send.reset();
    this->on_ended(this->Self(), result, std::move(ended));
  }

  Tcp::endpoint endpoint;
  OnEnded on_ended;
  Tcp::socket socket;
  bool is_connected = false;
  std::optional<PendingSend> send;
  std::optional<CheckingParser> parser;
  boost::beast::flat_buffer buffer;
};

}  // namespace

std::shared_ptr<CallerConnection> CallerConnection::Create(
    asio::io_context& context, const std::string& address, OnEnded on_ended) {
  return std::make_shared<TcpCallerConnection>(context, address,
                                               std::move(on_ended));
}

}  // namespace burdockwheel::stand_ins
