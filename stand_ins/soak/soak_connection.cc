#include "stand_ins/soak/soak_connection.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/write.hpp>
#include <utility>

#include "http/ip_address.h"
#include "stand_ins/common/read_answer.h"

namespace burdockwheel::stand_ins {

using boost::system::error_code;
using Tcp = boost::asio::ip::tcp;

SoakConnection::SoakConnection(boost::asio::io_context& context,
                               const std::string& address)
    : endpoint(*http::ParseEndpointOrNull(address)),
      socket(context),
      timer(context) {}

void SoakConnection::Send(std::string next_request,
                          std::chrono::milliseconds timeout,
                          OnEnded next_on_ended) {
  this->request = std::move(next_request);
  this->on_ended = std::move(next_on_ended);
  this->timer.expires_after(timeout);
  this->timer.async_wait(
      [self = this->shared_from_this()](const error_code& error) {
        if (!error) self->End(SoakSendResult::kTimedOut);
      });
  if (this->is_connected) return this->Write();
  this->socket.async_connect(this->endpoint, [self = this->shared_from_this()](
                                                 const error_code& error) {
    if (error) return self->End(SoakSendResult::kNoConnection);
    error_code ignored;
    self->socket.set_option(Tcp::no_delay(true), ignored);
    self->is_connected = true;
    self->Write();
  });
}

void SoakConnection::Write() {
  boost::asio::async_write(
      this->socket, boost::asio::buffer(this->request),
      [self = this->shared_from_this()](const error_code& error, std::size_t) {
        if (error) return self->End(SoakSendResult::kClosed);
        self->Read();
      });
}

void SoakConnection::Read() {
  this->parser.emplace();
  ReadAnswer(
      this->socket, this->buffer, *this->parser,
      [self = this->shared_from_this()](const error_code& error) {
        if (IsMalformed(error)) return self->End(SoakSendResult::kMalformed);
        self->End(error ? SoakSendResult::kClosed : SoakSendResult::kAnswered);
      });
}

void SoakConnection::End(SoakSendResult result) {
  const auto report = std::exchange(this->on_ended, {});
  if (!report) return;
  this->timer.cancel();
  SoakAnswer answer;
  bool is_kept = false;
  if (result == SoakSendResult::kAnswered) {
    const auto& message = this->parser->get();
    answer.status = static_cast<int>(message.result_int());
    answer.request_id = message["Request-Id"].to_string();
    answer.seal = message["Response-Seal"].to_string();
    answer.body = message.body();
    answer.has_surplus = this->buffer.size() > 0;
    is_kept = message.keep_alive();
  }
  if (!is_kept) this->Close();
  report(result, answer);
}

void SoakConnection::Close() {
  error_code ignored;
  this->is_connected = false;
  this->on_ended = {};
  this->timer.cancel();
  this->socket.close(ignored);
}

}  // namespace burdockwheel::stand_ins
