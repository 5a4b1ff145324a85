#include "review/stand_ins_2/http_message.h"

#include <algorithm>
#include <cctype>
#include <cstdlib>

namespace burdockwheel::review {

namespace {

bool IsSameName(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](unsigned char a, unsigned char b) {
                      return std::tolower(a) == std::tolower(b);
                    });
}

std::string Decoded(const std::string& text) {
  std::string plain;
  for (std::size_t index = 0; index < text.size(); ++index) {
    if (text[index] != '%' || index + 2 >= text.size()) {
      plain.push_back(text[index]);
      continue;
    }
    plain.push_back(static_cast<char>(
        std::strtol(text.substr(index + 1, 2).c_str(), nullptr, 16)));
    index += 2;
  }
  return plain;
}

}  // namespace

const std::string* HttpMessage::HeaderOrNull(std::string_view name) const {
  for (const auto& [each, value] : this->headers) {
    if (IsSameName(each, name)) return &value;
  }
  return nullptr;
}

std::string HttpMessage::SecondWord() const {
  const auto begin = this->start_line.find(' ');
  if (begin == std::string::npos) return {};
  const auto end = this->start_line.find(' ', begin + 1);
  return this->start_line.substr(begin + 1, end - begin - 1);
}

std::optional<HttpMessage> TakeMessage(std::string& bytes) {
  const auto head_end = bytes.find("\r\n\r\n");
  if (head_end == std::string::npos) return std::nullopt;
  HttpMessage message;
  auto at = bytes.find("\r\n");
  message.start_line = bytes.substr(0, at);
  while (at < head_end) {
    at += 2;
    const auto end = bytes.find("\r\n", at);
    const auto line = bytes.substr(at, end - at);
    at = end;
    const auto colon = line.find(':');
    if (colon == std::string::npos) continue;
    const auto value = line.find_first_not_of(' ', colon + 1);
    message.headers.emplace_back(
        line.substr(0, colon),
        value == std::string::npos ? "" : line.substr(value));
  }
  std::size_t length = 0;
  const auto* stated = message.HeaderOrNull("Content-Length");
  if (stated != nullptr) length = std::strtoul(stated->c_str(), nullptr, 10);
  const auto whole = head_end + 4 + length;
  if (bytes.size() < whole) return std::nullopt;
  message.body = bytes.substr(head_end + 4, length);
  bytes.erase(0, whole);
  return message;
}

std::string MakeAnswer(int status, const std::string& headers,
                       const std::string& body) {
  return "HTTP/1.1 " + std::to_string(status) + " Status\r\n" + headers +
         "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::optional<std::string> QueryValueOrNull(const std::string& target,
                                            const std::string& name) {
  auto at = target.find('?');
  while (at != std::string::npos) {
    const auto end = target.find('&', at + 1);
    const auto pair = target.substr(at + 1, end - at - 1);
    at = end;
    const auto equals = pair.find('=');
    if (equals == std::string::npos || pair.substr(0, equals) != name) continue;
    return Decoded(pair.substr(equals + 1));
  }
  return std::nullopt;
}

std::string Base64(const std::string& bytes) {
  static constexpr std::string_view kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t index = 0; index < bytes.size(); index += 3) {
    unsigned group = 0;
    for (std::size_t byte = 0; byte < 3; ++byte) {
      group <<= 8U;
      if (index + byte < bytes.size())
        group |= static_cast<unsigned char>(bytes[index + byte]);
    }
    const auto known = std::min<std::size_t>(3, bytes.size() - index);
    for (std::size_t digit = 0; digit < 4; ++digit) {
      const auto shift = static_cast<unsigned>(18 - 6 * digit);
      text.push_back(digit <= known ? kDigits[(group >> shift) & 0x3FU] : '=');
    }
  }
  return text;
}

}  // namespace burdockwheel::review
