// An HTTP answer of a stand-in, with the faults that a test can ask for.
#pragma once

#include <cstddef>
#include <string>
#include <utility>
#include <vector>

namespace burdockwheel::stand_ins {

enum class AnswerFault {
  kNone,
  kTruncated,        // closes after half of the bytes
  kWrongFraming,     // Content-Length and Transfer-Encoding contradict the body
  kCloseAfterWrite,  // closes a connection that it had promised to keep
  kDoubled,          // a second answer follows on the kept connection
  kEndless,          // is written again and again until the caller closes
};

struct HttpAnswer {
  int status = 200;
  std::vector<std::pair<std::string, std::string>> fields;
  std::string body;
  bool is_chunked = false;
  bool is_head = false;  // states the length of the body and omits it
  bool is_last = false;  // announces and performs the close of the connection
  AnswerFault fault = AnswerFault::kNone;
  std::size_t bytes_per_second = 0;  // 0: all at once
};

// Returns the answer's bytes on the wire. They are not written by a library,
// since the faults must be able to break the rules of HTTP.
std::string SerializeAnswer(const HttpAnswer& answer);

}  // namespace burdockwheel::stand_ins
