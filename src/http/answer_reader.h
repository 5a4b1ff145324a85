// Reads answers from the bytes of a worker's connection.
#pragma once

#include <cstddef>
#include <memory>
#include <string_view>

#include "http/message.h"

namespace burdockwheel::http {

enum class AnswerState {
  kNeedsMore,
  kComplete,
  kFailed,    // the bytes are no answer
  kTooLarge,  // more than a head or a body may have
};

// Reads one answer at a time. Interim answers (1xx) are passed over.
class AnswerReader {
 public:
  explicit AnswerReader(std::size_t most_body_bytes);
  ~AnswerReader();
  AnswerReader(const AnswerReader&) = delete;
  AnswerReader& operator=(const AnswerReader&) = delete;

  // Begins a new answer. An answer to HEAD has no body (RFC 9110, 9.3.2).
  void Begin(bool is_answer_to_head);

  // Takes bytes and sets `consumed` to the number of them that are used up.
  AnswerState Feed(std::string_view bytes, std::size_t& consumed);

  // Takes the end of the connection, which ends an answer without a length.
  AnswerState FeedEnd();

  // Moves the answer out. After kComplete only.
  Answer TakeAnswer();

  // Whether the connection may be used again after the answer last taken.
  bool IsKeepAlive() const;

 private:
  class Implementation;
  std::unique_ptr<Implementation> implementation;
};

}  // namespace burdockwheel::http
