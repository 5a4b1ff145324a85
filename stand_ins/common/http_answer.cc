#include "stand_ins/common/http_answer.h"

#include <boost/beast/http/status.hpp>
#include <cstddef>
#include <ostream>
#include <string_view>

namespace burdockwheel::stand_ins {
namespace {

constexpr std::size_t kChunkBytes = 1000;

void AppendHexadecimal(std::string* out, std::size_t value) {
  static constexpr std::string_view kDigits = "0123456789abcdef";
  if (value >= kDigits.size()) AppendHexadecimal(out, value / kDigits.size());
  *out += kDigits[value % kDigits.size()];
}

void AppendChunks(std::string* out, std::string_view body) {
  for (std::size_t at = 0; at < body.size(); at += kChunkBytes) {
    const std::string_view chunk = body.substr(at, kChunkBytes);
    AppendHexadecimal(out, chunk.size());
    *out += "\r\n";
    *out += chunk;
    *out += "\r\n";
  }
  *out += "0\r\n\r\n";
}

}  // namespace

std::string SerializeAnswer(const HttpAnswer& answer) {
  if (answer.fault == AnswerFault::kDoubled) {
    HttpAnswer single = answer;
    single.fault = AnswerFault::kNone;
    const std::string once = SerializeAnswer(single);
    return once + once;
  }
  std::string out = "HTTP/1.1 ";
  out.reserve(256 + answer.body.size() + answer.body.size() / 100);
  out += std::to_string(answer.status);
  out += ' ';
  const auto reason = boost::beast::http::obsolete_reason(
      boost::beast::http::int_to_status(static_cast<unsigned>(answer.status)));
  out.append(reason.data(), reason.size());
  out += "\r\n";
  for (const auto& [name, value] : answer.fields) {
    out += name;
    out += ": ";
    out += value;
    out += "\r\n";
  }
  if (answer.is_last) out += "Connection: close\r\n";
  if (answer.fault == AnswerFault::kEndless) {
    out += "Transfer-Encoding: chunked\r\n\r\n1;";
    out.append(kChunkBytes, 'x');
    return out;
  }
  if (answer.fault == AnswerFault::kWrongFraming) {
    out += "Content-Length: 7\r\nTransfer-Encoding: chunked\r\n\r\n";
    out += "zz\r\n";
    out += answer.body;
    return out;
  }
  // A 204 answer has no body (RFC 9110, section 15.3.5).
  if (answer.status == 204) return out += "\r\n";
  if (answer.is_chunked) {
    out += "Transfer-Encoding: chunked\r\n\r\n";
    if (!answer.is_head) AppendChunks(&out, answer.body);
  } else {
    out += "Content-Length: ";
    out += std::to_string(answer.body.size());
    out += "\r\n\r\n";
    if (!answer.is_head) out += answer.body;
  }
  if (answer.fault == AnswerFault::kTruncated) out.resize(out.size() / 2);
  return out;
}

}  // namespace burdockwheel::stand_ins
