// Answers that no reader may take for whole.
#pragma once

#include <string>
#include <vector>

namespace burdockwheel::stand_ins::testing {

using AnswerParts = std::vector<std::string>;

// Break the rules of HTTP.
inline std::vector<AnswerParts> MalformedAnswers() {
  const std::string head = "HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n";
  const std::string length = "Content-Length: 2\r\n\r\n";
  return {
      {"HTTP/1.1 000 \r\n", length, "ok"},
      {"HTTP/1.1 000 \r\n\r\n", "ok"},
      {"HTTP/1.1 600 None\r\n", length + "ok"},
      {"HTTP/1.1 0", "00 \r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n",
       "0\r\n\r\n"},
      // An interim answer that no request has asked for.
      {"HTTP/1.1 100 Continue\r\n\r\n", head + length + "ok"},
      {head + "X", " Y: z\r\n" + length + "ok"},
      {head + "X\x01Y: z\r\n", length + "ok"},
      {head + "Content-Length : 2\r\n\r\n", "ok"},
      {head, " " + length + "ok"},
      {head + "\t", length, "ok"},
      {head + " Transfer-Encoding: chunked\r\n", "\r\n2\r\nok\r\n0\r\n\r\n"},
      {head + "Transfer-Encoding: chunked\r\n\r\n", "2\r\nok\r\n0\r\nX: y\r\n",
       " Z: 1\r\n\r\n"}};
}

// Are sound as far as they go, and end with a reset.
inline std::vector<AnswerParts> AnswersBeforeAReset() {
  const std::string head = "HTTP/1.1 200 OK\r\nEtag: 3e1b\r\n";
  return {{head},
          {head + "\r\n"},
          {head + "\r\n", "part ", "of it"},
          {head, "Content-Length: 9\r\n\r\n", "part"},
          {head + "Transfer-Encoding: chunked\r\n\r\n", "4\r\npart\r\n"}};
}

}  // namespace burdockwheel::stand_ins::testing
