// Writes HTTP/1.1 messages (RFC 9112) as bytes.
#pragma once

#include <span>
#include <string>

#include "http/message.h"

namespace burdockwheel::http {

// Appends the bytes of a request with Content-Length set from its body. A body
// of zero bytes gets the header only where the method usually has a body.
// `further_headers` follow those of the request.
void AppendRequest(const Request& request,
                   std::span<const Header> further_headers, std::string& bytes);

// How an answer is framed.
struct AnswerFraming {
  bool is_keep_alive = true;
  bool is_answer_to_head = false;  // the body is left out, its length is told
  bool is_http_1_0 = false;        // the caller speaks HTTP/1.0
};

// Appends the bytes of an answer with Content-Length set from its body.
void AppendAnswer(const Answer& answer, const AnswerFraming& framing,
                  std::string& bytes);

}  // namespace burdockwheel::http
