// Reads answers as strictly as callers must. The parser of Beast alone lets
// pass statuses that are none and lines that are folded.
#pragma once

#include <boost/asio/buffer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/system/error_code.hpp>
#include <cstddef>
#include <functional>
#include <utility>

namespace burdockwheel::stand_ins {

using AnswerParser = boost::beast::http::basic_parser<false>;
using AnswerHandler = std::function<void(const boost::system::error_code&)>;

// Hands the bytes of the buffer to the parser and drops those that are used up.
// Returns need_more while the answer is not whole. An interim answer is
// malformed, as no request of the stand-ins asks for one.
boost::system::error_code FeedAnswer(boost::beast::flat_buffer& buffer,
                                     AnswerParser& parser);

// Takes the end of the connection, which may end an answer without a length.
boost::system::error_code EndAnswer(const boost::system::error_code& end,
                                    AnswerParser& parser);

// Tells whether the error is that of bytes that break the rules of HTTP.
bool IsMalformed(const boost::system::error_code& error);

// Reads one answer. `on_ended` is called once, and must keep the other
// arguments alive until then.
template <typename Stream>
void ReadAnswer(Stream& stream, boost::beast::flat_buffer& buffer,
                AnswerParser& parser, AnswerHandler on_ended) {
  constexpr std::size_t kReadBytes = std::size_t{16} * 1024;
  const auto state = FeedAnswer(buffer, parser);
  if (state != boost::beast::http::error::need_more) {
    on_ended(state);
    return;
  }
  stream.async_read_some(
      buffer.prepare(kReadBytes),
      [&stream, &buffer, &parser, on_ended = std::move(on_ended)](
          const boost::system::error_code& error, std::size_t size) mutable {
        if (error) {
          on_ended(EndAnswer(error, parser));
          return;
        }
        buffer.commit(size);
        ReadAnswer(stream, buffer, parser, std::move(on_ended));
      });
}

}  // namespace burdockwheel::stand_ins
