#include "http/request_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <stdexcept>
#include <string>
#include <utility>

namespace burdockwheel::http {

namespace beast_http = boost::beast::http;

namespace {

using Parser = beast_http::request_parser<beast_http::string_body>;

constexpr int kBadRequest = 400;
constexpr int kContentTooLarge = 413;
constexpr int kExpectationFailed = 417;
constexpr int kHeadersTooLarge = 431;
constexpr int kNotImplemented = 501;
constexpr int kVersionNotSupported = 505;

int StatusOf(const boost::system::error_code& error) {
  if (error == beast_http::error::body_limit) return kContentTooLarge;
  if (error == beast_http::error::header_limit) return kHeadersTooLarge;
  if (error == beast_http::error::bad_version) return kVersionNotSupported;
  return kBadRequest;
}

}  // namespace

class RequestReader::Implementation {
 public:
  explicit Implementation(const ReadLimits& limits) : limits(limits) {
    this->Reset();
  }

  void Reset() {
    this->parser.emplace();
    this->ApplyLimits();
    this->has_started = false;
    this->is_header_checked = false;
  }

  void ApplyLimits() {
    this->parser->header_limit(
        static_cast<std::uint32_t>(this->limits.most_header_bytes));
    this->parser->body_limit(this->limits.most_body_bytes);
  }

  void SetLimits(const ReadLimits& newest) {
    this->limits = newest;
    if (!this->has_started) this->ApplyLimits();
  }

  ReadState Feed(std::string_view bytes, std::size_t& consumed) {
    consumed = 0;
    while (consumed < bytes.size() && !this->parser->is_done()) {
      boost::system::error_code error;
      const auto rest = bytes.substr(consumed);
      this->has_started = true;
      try {
        consumed += this->parser->put(
            boost::asio::buffer(rest.data(), rest.size()), error);
      } catch (const std::length_error&) {
        // Beast stores names and values of up to kMostFieldBytes.
        return this->Fail(kHeadersTooLarge);
      }
      if (error == beast_http::error::need_more) {
        // Beast takes a header only whole, so bytes may remain unused.
        if (bytes.size() - consumed > this->limits.most_header_bytes) {
          return this->Fail(kHeadersTooLarge);
        }
        break;
      }
      if (error) return this->Fail(StatusOf(error));
      // Not before the header's checks have passed (see AnswerReader).
      this->parser->eager(true);
    }
    return this->State();
  }

  ReadState State() {
    if (this->parser->is_header_done() && !this->is_header_checked) {
      this->is_header_checked = true;
      if (const auto status = this->HeaderFault()) return this->Fail(*status);
      if (this->WantsContinue() && !this->parser->is_done()) {
        return ReadState::kWantsContinue;
      }
    }
    return this->parser->is_done() ? ReadState::kComplete
                                   : ReadState::kNeedsMore;
  }

  // Checks what the parser leaves to the server.
  std::optional<int> HeaderFault() {
    const auto& message = this->parser->get();
    const auto target = message.target();
    const bool is_origin_form = !target.empty() && target.front() == '/';
    if (!is_origin_form) return kBadRequest;
    // RFC 9112, 3.2: exactly one Host field in HTTP/1.1.
    const auto host_fields = message.count(beast_http::field::host);
    if (host_fields > 1) return kBadRequest;
    if (host_fields == 0 && message.version() >= 11) return kBadRequest;
    // RFC 9112, 6.1: an unknown transfer coding gets 501. Several fields
    // cannot be told from smuggling.
    const auto codings = message.count(beast_http::field::transfer_encoding);
    if (codings > 1) return kBadRequest;
    if (codings == 1 &&
        !IsSameToken(message[beast_http::field::transfer_encoding].to_string(),
                     "chunked")) {
      return kNotImplemented;
    }
    if (codings == 1 && message.version() < 11) return kBadRequest;
    const auto expectation = message[beast_http::field::expect];
    if (!expectation.empty() && !this->WantsContinue()) {
      return kExpectationFailed;
    }
    return std::nullopt;
  }

  bool WantsContinue() {
    const auto expectation = this->parser->get()[beast_http::field::expect];
    return IsSameToken(std::string_view(expectation.data(), expectation.size()),
                       "100-continue");
  }

  ReadState Fail(int status) {
    this->failure_status = status;
    return ReadState::kFailed;
  }

  std::size_t BodyBytes() const {
    const auto stated = this->parser->content_length();
    return stated ? static_cast<std::size_t>(*stated)
                  : this->parser->get().body().size();
  }

  Request TakeRequest() {
    this->is_keep_alive = this->parser->get().keep_alive();
    this->is_http_1_0 = this->parser->get().version() < 11;
    auto message = this->parser->release();
    Request request;
    request.method = message.method_string().to_string();
    request.target = message.target().to_string();
    for (const auto& field : message) {
      request.headers.push_back(
          {field.name_string().to_string(), field.value().to_string()});
    }
    request.body = std::move(message.body());
    this->Reset();
    return request;
  }

  ReadLimits limits;
  std::optional<Parser> parser;
  bool has_started = false;
  bool is_header_checked = false;
  bool is_keep_alive = false;
  bool is_http_1_0 = false;
  int failure_status = kBadRequest;
};

RequestReader::RequestReader(const ReadLimits& limits)
    : implementation(std::make_unique<Implementation>(limits)) {}

RequestReader::~RequestReader() = default;

ReadState RequestReader::Feed(std::string_view bytes, std::size_t& consumed) {
  return this->implementation->Feed(bytes, consumed);
}

void RequestReader::SetLimits(const ReadLimits& limits) {
  this->implementation->SetLimits(limits);
}

bool RequestReader::HasHeader() const {
  return this->implementation->has_started &&
         this->implementation->parser->is_header_done();
}

bool RequestReader::HasStarted() const {
  return this->implementation->has_started;
}

std::size_t RequestReader::BodyBytes() const {
  return this->implementation->BodyBytes();
}

int RequestReader::FailureStatus() const {
  return this->implementation->failure_status;
}

Request RequestReader::TakeRequest() {
  return this->implementation->TakeRequest();
}

bool RequestReader::IsKeepAlive() const {
  return this->implementation->is_keep_alive;
}

bool RequestReader::IsHttp10() const {
  return this->implementation->is_http_1_0;
}

}  // namespace burdockwheel::http
