#include "review/stand_ins_2/http_listener.h"

#include <array>
#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

namespace burdockwheel::review {

using boost::asio::ip::tcp;

class HttpListener::Connection
    : public std::enable_shared_from_this<Connection> {
 public:
  Connection(tcp::socket socket, std::shared_ptr<Handler> handler)
      : socket(std::move(socket)), handler(std::move(handler)) {}

  void Start() {
    boost::system::error_code ignored;
    this->socket.set_option(tcp::no_delay(true), ignored);
    this->Read();
  }

  void Close() {
    if (!this->is_open) return;
    this->is_open = false;
    boost::system::error_code ignored;
    this->socket.close(ignored);
  }

  bool IsOpen() const { return this->is_open; }

 private:
  // Goes on while a request is served, so that the end of the connection shows.
  void Read() {
    this->socket.async_read_some(
        boost::asio::buffer(this->chunk),
        [self = this->shared_from_this()](
            const boost::system::error_code& error, std::size_t size) {
          if (error) {
            self->Close();
            return;
          }
          self->bytes.append(self->chunk.data(), size);
          self->Serve();
          if (self->is_open) self->Read();
        });
  }

  void Serve() {
    if (this->is_serving) return;
    auto request = TakeMessage(this->bytes);
    if (!request) return;
    this->is_serving = true;
    auto exchange = std::make_shared<Exchange>();
    exchange->request = std::move(*request);
    exchange->respond = [weak = this->weak_from_this()](const auto& answer) {
      if (const auto self = weak.lock()) self->Write(answer);
    };
    exchange->is_open = [weak = this->weak_from_this()] {
      const auto self = weak.lock();
      return self != nullptr && self->is_open;
    };
    (*this->handler)(exchange);
  }

  void Write(const std::string& answer) {
    if (!this->is_open) return;
    if (answer.empty()) {
      this->Close();
      return;
    }
    auto kept = std::make_shared<std::string>(answer);
    boost::asio::async_write(
        this->socket, boost::asio::buffer(*kept),
        [self = this->shared_from_this(), kept](
            const boost::system::error_code& error, std::size_t /*size*/) {
          self->is_serving = false;
          if (error) self->Close();
          if (self->is_open) self->Serve();
        });
  }

  tcp::socket socket;
  std::shared_ptr<Handler> handler;
  std::array<char, 8192> chunk{};
  std::string bytes;
  bool is_open = true;
  bool is_serving = false;
};

HttpListener::HttpListener(boost::asio::io_context& context, Handler handler)
    : acceptor(context,
               tcp::endpoint(boost::asio::ip::address_v4::loopback(), 0)),
      handler(std::make_shared<Handler>(std::move(handler))),
      port(this->acceptor.local_endpoint().port()) {
  this->Accept();
}

HttpListener::~HttpListener() { this->Close(); }

void HttpListener::Close() {
  boost::system::error_code ignored;
  this->acceptor.close(ignored);
  for (const auto& connection : this->connections) connection->Close();
  this->connections.clear();
}

void HttpListener::Accept() {
  this->acceptor.async_accept(
      [this](const boost::system::error_code& error, tcp::socket socket) {
        if (error) return;
        std::erase_if(this->connections,
                      [](const auto& each) { return !each->IsOpen(); });
        const auto connection =
            std::make_shared<Connection>(std::move(socket), this->handler);
        this->connections.insert(connection);
        connection->Start();
        this->Accept();
      });
}

}  // namespace burdockwheel::review
