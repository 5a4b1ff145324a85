#include "stand_ins/common/http_client.h"

#include <utility>
// Boost 1.74's asio/awaitable.hpp lacks this include.
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <cstdlib>

#include "stand_ins/common/read_answer.h"

namespace burdockwheel::stand_ins {
namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

constexpr unsigned kHttpVersion = 11;
constexpr std::uint64_t kMostBodyBytes = 256 << 20;

// One request from connection to answer.
class Exchange {
 public:
  Exchange(const std::string& method, const std::string& target,
           const std::string& body)
      : stream(this->context) {
    this->request.version(kHttpVersion);
    this->request.method_string(method);
    this->request.target(target);
    this->request.set(http::field::host, "burdockwheel.test");
    this->request.set(http::field::connection, "close");
    this->request.body() = body;
    this->request.prepare_payload();
    this->parser.body_limit(kMostBodyBytes);
  }

  kernel::Result<HttpReply, HttpClientFailure> TryRun(
      const asio::ip::tcp::endpoint& endpoint) {
    this->stream.expires_after(kHttpClientTimeout);
    this->stream.async_connect(endpoint, [this](const error_code& error) {
      if (error) return;
      this->is_connected = true;
      this->Write();
    });
    this->context.run();
    if (!this->is_connected) return HttpClientFailure::kNoConnection;
    if (!this->is_answered) return HttpClientFailure::kNoAnswer;
    return HttpReply{static_cast<int>(this->parser.get().result_int()),
                     std::move(this->parser.get().body())};
  }

 private:
  void Write() {
    http::async_write(this->stream, this->request,
                      [this](const error_code& error, std::size_t) {
                        if (!error) this->Read();
                      });
  }

  void Read() {
    ReadAnswer(this->stream, this->buffer, this->parser,
               [this](const error_code& error) { this->is_answered = !error; });
  }

  asio::io_context context;
  boost::beast::tcp_stream stream;
  http::request<http::string_body> request;
  http::response_parser<http::string_body> parser;
  boost::beast::flat_buffer buffer;
  bool is_connected = false;
  bool is_answered = false;
};

}  // namespace

kernel::Result<HttpReply, HttpClientFailure> TryHttpRequest(
    const std::string& address, const std::string& method,
    const std::string& target, const std::string& body) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) return HttpClientFailure::kNoConnection;
  error_code error;
  const auto ip = asio::ip::make_address(address.substr(0, colon), error);
  if (error) return HttpClientFailure::kNoConnection;
  const int port = std::atoi(address.c_str() + colon + 1);
  Exchange exchange(method, target, body);
  return exchange.TryRun({ip, static_cast<std::uint16_t>(port)});
}

}  // namespace burdockwheel::stand_ins
