#include "http/answer_reader.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <optional>
#include <string>
#include <utility>

#include "http/folded_line.h"

namespace burdockwheel::http {

namespace beast_http = boost::beast::http;

namespace {

using Parser = beast_http::response_parser<beast_http::string_body>;

constexpr std::uint32_t kMostHeaderBytes = std::uint32_t{32} * 1024;
constexpr int kMostInterimAnswers = 8;

}  // namespace

class AnswerReader::Implementation {
 public:
  explicit Implementation(std::size_t most_body_bytes)
      : most_body_bytes(most_body_bytes) {}

  void Begin(bool is_head) {
    this->is_answer_to_head = is_head;
    this->interim_answers = 0;
    this->Reset();
  }

  void Reset() {
    this->parser.emplace();
    this->parser->header_limit(kMostHeaderBytes);
    this->parser->body_limit(this->most_body_bytes);
    this->parser->skip(this->is_answer_to_head);
  }

  AnswerState Feed(std::string_view bytes, std::size_t& consumed) {
    consumed = 0;
    while (consumed < bytes.size() && !this->parser->is_done()) {
      boost::system::error_code error;
      const auto rest = bytes.substr(consumed);
      const bool is_in_head = !this->parser->is_header_done();
      const auto taken = this->parser->put(
          boost::asio::buffer(rest.data(), rest.size()), error);
      consumed += taken;
      // The parser joins a folded line to the field before, and may so lose the
      // framing of the body. RFC 9112, section 5.2: a gateway may refuse it.
      if ((is_in_head || this->HasTakenTrailer()) &&
          HasFoldedLine(rest.substr(0, taken)))
        return AnswerState::kFailed;
      if (error == beast_http::error::need_more) {
        if (bytes.size() - consumed > kMostHeaderBytes)
          return AnswerState::kTooLarge;
        break;
      }
      if (error == beast_http::error::body_limit ||
          error == beast_http::error::header_limit)
        return AnswerState::kTooLarge;
      if (error || this->HasNoStatus()) return AnswerState::kFailed;
      if (this->parser->is_done() && this->IsInterim()) {
        if (!this->PassOverInterim()) return AnswerState::kFailed;
      }
    }
    return this->State();
  }

  // Tells whether the last step of the parser took the last chunk, and the
  // trailer section with it. The parser is not eager, so that no step takes
  // both lines and parts of a body.
  bool HasTakenTrailer() const {
    return this->parser->is_done() && this->parser->chunked();
  }

  // RFC 9110, section 15: valid status codes are 100 to 599. A worker that
  // sends another one is in trouble, and its bytes are no answer.
  bool HasNoStatus() const {
    if (!this->parser->is_header_done()) return false;
    const auto status = this->parser->get().result_int();
    return status < 100 || status > 599;
  }

  // RFC 9110, 15.2: a client must be able to parse interim answers.
  bool IsInterim() const {
    const auto status = this->parser->get().result_int();
    return status >= 100 && status < 200;
  }

  bool PassOverInterim() {
    // 101 was not asked for: Upgrade is never forwarded.
    if (this->parser->get().result_int() == 101) return false;
    this->interim_answers += 1;
    if (this->interim_answers > kMostInterimAnswers) return false;
    this->Reset();
    return true;
  }

  AnswerState State() const {
    if (!this->parser->is_done()) return AnswerState::kNeedsMore;
    return AnswerState::kComplete;
  }

  AnswerState FeedEnd() {
    if (!this->parser || !this->parser->is_header_done()) {
      return AnswerState::kFailed;
    }
    boost::system::error_code error;
    this->parser->put_eof(error);
    if (error || !this->parser->is_done()) return AnswerState::kFailed;
    return AnswerState::kComplete;
  }

  Answer TakeAnswer() {
    this->is_keep_alive =
        this->parser->get().keep_alive() && !this->parser->get().need_eof();
    auto message = this->parser->release();
    Answer answer;
    answer.status = static_cast<int>(message.result_int());
    answer.headers.reserve(8);
    for (const auto& field : message) {
      answer.headers.push_back(
          {field.name_string().to_string(), field.value().to_string()});
    }
    answer.body = std::move(message.body());
    this->parser.reset();
    return answer;
  }

  std::size_t most_body_bytes;
  std::optional<Parser> parser;
  bool is_answer_to_head = false;
  bool is_keep_alive = false;
  int interim_answers = 0;
};

AnswerReader::AnswerReader(std::size_t most_body_bytes)
    : implementation(std::make_unique<Implementation>(most_body_bytes)) {}

AnswerReader::~AnswerReader() = default;

void AnswerReader::Begin(bool is_answer_to_head) {
  this->implementation->Begin(is_answer_to_head);
}

AnswerState AnswerReader::Feed(std::string_view bytes, std::size_t& consumed) {
  return this->implementation->Feed(bytes, consumed);
}

AnswerState AnswerReader::FeedEnd() { return this->implementation->FeedEnd(); }

Answer AnswerReader::TakeAnswer() { return this->implementation->TakeAnswer(); }

bool AnswerReader::IsKeepAlive() const {
  return this->implementation->is_keep_alive;
}

}  // namespace burdockwheel::http
