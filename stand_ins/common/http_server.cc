#include "stand_ins/common/http_server.h"

#include <algorithm>
#include <chrono>
#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string_view>
#include <unordered_set>

#include "stand_ins/common/http_exchange.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t kMostBodyBytes = 64 << 20;

// Between the writes of an answer that is sent at a limited rate.
constexpr std::chrono::milliseconds kWritePause{20};

boost::beast::string_view ToBeast(std::string_view text) {
  return {text.data(), text.size()};
}

std::string_view FromBeast(boost::beast::string_view text) {
  return {text.data(), text.size()};
}

}  // namespace

class HttpServer::State : public std::enable_shared_from_this<State> {
 public:
  class Connection;

  State(asio::io_context& context, Handler handler)
      : acceptor(context), handler(std::move(handler)) {}

  void AcceptNext();

  Tcp::acceptor acceptor;
  Handler handler;
  ConnectionCounts counts;
  std::unordered_set<Connection*> connections;
};

class HttpServer::State::Connection
    : public HttpExchange,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(Tcp::socket socket, std::shared_ptr<State> state)
      : socket(std::move(socket)),
        state(std::move(state)),
        pace(this->socket.get_executor()) {
    this->state->connections.insert(this);
    ConnectionCounts& counts = this->state->counts;
    ++counts.accepted;
    ++counts.open;
    counts.most_open = std::max(counts.most_open, counts.open);
  }
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;
  ~Connection() override {
    this->state->connections.erase(this);
    --this->state->counts.open;
  }

  void ReadNext() {
    this->parser.emplace();
    this->parser->body_limit(kMostBodyBytes);
    http::async_read(this->socket, this->buffer, *this->parser,
                     [self = this->shared_from_this()](
                         boost::system::error_code error, std::size_t) {
                       if (error) return self->Abandon();
                       self->is_answered = false;
                       self->state->handler(self);
                     });
  }

  std::string_view Method() const override {
    return FromBeast(this->parser->get().method_string());
  }
  std::string_view Target() const override {
    return FromBeast(this->parser->get().target());
  }
  std::string_view Field(std::string_view name) const override {
    return FromBeast(this->parser->get()[ToBeast(name)]);
  }
  std::string_view Body() const override { return this->parser->get().body(); }

  std::string PeerAddress() const override {
    boost::system::error_code error;
    const Tcp::endpoint peer = this->socket.remote_endpoint(error);
    return error ? std::string() : peer.address().to_string();
  }

  void Answer(HttpAnswer answer) override {
    this->is_answered = true;
    this->on_closed = nullptr;
    if (!this->parser->get().keep_alive()) answer.is_last = true;
    answer.is_head = this->parser->get().method() == http::verb::head;
    const bool is_closing =
        answer.is_last || (answer.fault != AnswerFault::kNone &&
                           answer.fault != AnswerFault::kDoubled);
    this->is_endless = answer.fault == AnswerFault::kEndless;
    this->output = SerializeAnswer(answer);
    this->written = 0;
    this->bytes_at_a_time = this->output.size();
    if (answer.bytes_per_second > 0) {
      const auto pauses = std::chrono::seconds(1) / kWritePause;
      this->bytes_at_a_time =
          answer.bytes_per_second / static_cast<std::size_t>(pauses) + 1;
    }
    this->WriteNext(is_closing);
  }

  void WatchClose(std::function<void()> on_closed) override {
    this->on_closed = std::move(on_closed);
    this->WaitForClose();
  }

  void Abandon() override {
    boost::system::error_code ignored;
    this->socket.shutdown(Tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
    const std::function<void()> report = std::exchange(this->on_closed, {});
    if (report) report();
  }

 private:
  void WriteNext(bool is_closing) {
    const auto left = this->output.size() - this->written;
    asio::async_write(this->socket,
                      asio::buffer(this->output.data() + this->written,
                                   std::min(left, this->bytes_at_a_time)),
                      [self = this->shared_from_this(), is_closing](
                          boost::system::error_code error, std::size_t size) {
                        self->written += size;
                        if (!error && self->written < self->output.size())
                          return self->WriteLater(is_closing);
                        if (!error && self->is_endless) {
                          self->written = 0;
                          return self->WriteNext(is_closing);
                        }
                        if (error || is_closing) return self->Abandon();
                        self->ReadNext();
                      });
  }

  void WriteLater(bool is_closing) {
    this->pace.expires_after(kWritePause);
    this->pace.async_wait([self = this->shared_from_this(),
                           is_closing](boost::system::error_code error) {
      if (!error) self->WriteNext(is_closing);
    });
  }

  void WaitForClose() {
    this->socket.async_wait(
        Tcp::socket::wait_read,
        [self = this->shared_from_this()](boost::system::error_code error) {
          if (error || self->is_answered) return;
          self->ReportIfClosed();
        });
  }

  // The socket is readable: either the peer has closed it, or the bytes of a
  // pipelined request wait, which says nothing about this one.
  void ReportIfClosed() {
    char byte = 0;
    boost::system::error_code error;
    this->socket.non_blocking(true, error);
    this->socket.receive(asio::buffer(&byte, 1), Tcp::socket::message_peek,
                         error);
    if (!error) return;
    if (error == asio::error::would_block) return this->WaitForClose();
    this->Abandon();
  }

  Tcp::socket socket;
  std::shared_ptr<State> state;
  boost::beast::flat_buffer buffer;
  std::optional<http::request_parser<http::string_body>> parser;
  std::string output;
  std::size_t written = 0;
  std::size_t bytes_at_a_time = 0;
  asio::steady_timer pace;
  std::function<void()> on_closed;
  bool is_answered = false;
  bool is_endless = false;  // the answer is written until the peer closes
};

void HttpServer::State::AcceptNext() {
  this->acceptor.async_accept(
      [self = this->shared_from_this()](boost::system::error_code error,
                                        Tcp::socket socket) {
        if (error == asio::error::operation_aborted) return;
        if (!self->acceptor.is_open()) return;
        if (!error) {
          boost::system::error_code ignored;
          socket.set_option(Tcp::no_delay(true), ignored);
          std::make_shared<Connection>(std::move(socket), self)->ReadNext();
        }
        self->AcceptNext();
      });
}

HttpServer::HttpServer(asio::io_context& context, Handler handler)
    : state(std::make_shared<State>(context, std::move(handler))) {}

HttpServer::~HttpServer() {
  this->StopListening();
  this->CloseConnections();
}

kernel::Result<std::uint16_t, ListenFailure> HttpServer::TryListen(
    const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return ListenFailure::kBadAddress;
  boost::system::error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error) return ListenFailure::kBadAddress;
  const int port = std::atoi(address.c_str() + colon + 1);
  const Tcp::endpoint endpoint(ip, static_cast<std::uint16_t>(port));
  Tcp::acceptor& acceptor = this->state->acceptor;
  if (!acceptor.is_open()) acceptor.open(endpoint.protocol(), error);
  if (!error) acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  if (!error) acceptor.bind(endpoint, error);
  if (!error) acceptor.listen(asio::socket_base::max_listen_connections, error);
  if (error) {
    this->StopListening();
    return ListenFailure::kAddressNotAvailable;
  }
  this->state->AcceptNext();
  return acceptor.local_endpoint().port();
}

void HttpServer::StopListening() {
  boost::system::error_code ignored;
  this->state->acceptor.close(ignored);
}

void HttpServer::CloseConnections() {
  std::vector<std::shared_ptr<State::Connection>> open;
  for (State::Connection* connection : this->state->connections) {
    if (auto alive = connection->weak_from_this().lock())
      open.push_back(std::move(alive));
  }
  for (const auto& connection : open) connection->Abandon();
}

ConnectionCounts HttpServer::Connections() const { return this->state->counts; }

}  // namespace burdockwheel::stand_ins
