#include "stand_ins/common/read_answer.h"

#include <boost/asio/error.hpp>
#include <boost/beast/http/error.hpp>
#include <string_view>

#include "http/folded_line.h"

namespace burdockwheel::stand_ins {
namespace {

namespace beast_http = boost::beast::http;
using boost::system::error_code;

// Tells whether the lines hold the status line of an answer that is not final
// (RFC 9110, section 15). The parser has accepted them.
bool HasUnfitStatus(std::string_view lines) {
  constexpr std::string_view kProtocol = "HTTP/";
  constexpr std::string_view kVersion = "HTTP/1.1 ";
  // No name of a field has a slash.
  if (!lines.starts_with(kProtocol)) return false;
  const char first_digit = lines[kVersion.size()];
  return first_digit < '2' || first_digit > '5';
}

}  // namespace

error_code FeedAnswer(boost::beast::flat_buffer& buffer, AnswerParser& parser) {
  while (!parser.is_done() && buffer.size() > 0) {
    const bool is_in_head = !parser.is_header_done();
    error_code error;
    const auto taken = parser.put(buffer.data(), error);
    const std::string_view lines(static_cast<const char*>(buffer.data().data()),
                                 taken);
    if (is_in_head && HasUnfitStatus(lines))
      return beast_http::error::bad_status;
    const bool is_trailer = parser.is_done() && parser.chunked();
    if ((is_in_head || is_trailer) && http::HasFoldedLine(lines))
      return beast_http::error::bad_field;
    buffer.consume(taken);
    if (error) return error;
  }
  return parser.is_done() ? error_code() : beast_http::error::need_more;
}

error_code EndAnswer(const error_code& end, AnswerParser& parser) {
  if (end != boost::asio::error::eof) return end;
  if (!parser.got_some()) return beast_http::error::end_of_stream;
  error_code error;
  parser.put_eof(error);
  return error;
}

bool IsMalformed(const error_code& error) {
  static const error_code kSample = beast_http::error::bad_version;
  return error.category() == kSample.category() &&
         error != beast_http::error::end_of_stream &&
         error != beast_http::error::partial_message;
}

}  // namespace burdockwheel::stand_ins
