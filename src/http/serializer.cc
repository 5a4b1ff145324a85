#include "http/serializer.h"

#include <boost/beast/http/message.hpp>
#include <string_view>

namespace burdockwheel::http {

namespace {

void AppendHeader(std::string_view name, std::string_view value,
                  std::string& bytes) {
  bytes.append(name).append(": ").append(value).append("\r\n");
}

void AppendHeaders(std::span<const Header> headers, std::string& bytes) {
  for (const auto& header : headers) {
    AppendHeader(header.name, header.value, bytes);
  }
}

// RFC 9110, 8.6: these answers carry no Content-Length.
bool HasNoBodyByStatus(int status) { return status < 200 || status == 204; }

}  // namespace

void AppendRequest(const Request& request,
                   std::span<const Header> further_headers,
                   std::string& bytes) {
  bytes.append(request.method).append(" ").append(request.target);
  bytes.append(" HTTP/1.1\r\n");
  AppendHeaders(request.headers, bytes);
  AppendHeaders(further_headers, bytes);
  const bool has_usual_body =
      request.method != "GET" && request.method != "HEAD";
  if (!request.body.empty() || has_usual_body) {
    AppendHeader("Content-Length", std::to_string(request.body.size()), bytes);
  }
  bytes.append("\r\n").append(request.body);
}

void AppendAnswer(const Answer& answer, const AnswerFraming& framing,
                  std::string& bytes) {
  bytes.append("HTTP/1.1 ").append(std::to_string(answer.status)).append(" ");
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(answer.status)));
  bytes.append(reason.data(), reason.size()).append("\r\n");
  AppendHeaders(answer.headers, bytes);
  if (!framing.is_keep_alive) {
    AppendHeader("Connection", "close", bytes);
  } else if (framing.is_http_1_0) {
    AppendHeader("Connection", "keep-alive", bytes);
  }
  // RFC 9110, 8.6: an answer to HEAD tells the length that GET would have, and
  // the worker's own header, if any, has been kept as it came.
  const bool has_length =
      HeaderOrNull(answer.headers, "Content-Length") != nullptr;
  const bool is_bodiless_not_modified =
      answer.status == 304 || framing.is_answer_to_head;
  if (!has_length && !HasNoBodyByStatus(answer.status) &&
      !(is_bodiless_not_modified && answer.body.empty())) {
    AppendHeader("Content-Length", std::to_string(answer.body.size()), bytes);
  }
  bytes.append("\r\n");
  if (framing.is_answer_to_head) return;
  bytes.append(answer.body);
}

}  // namespace burdockwheel::http
