#include "http/message.h"

#include <algorithm>

namespace burdockwheel::http {

namespace {

constexpr char ToLower(char character) {
  if (character < 'A' || character > 'Z') return character;
  return static_cast<char>(character - 'A' + 'a');
}

}  // namespace

bool IsSameToken(std::string_view left, std::string_view right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](char a, char b) { return ToLower(a) == ToLower(b); });
}

const std::string* HeaderOrNull(const std::vector<Header>& headers,
                                std::string_view name) {
  for (const auto& header : headers) {
    if (IsSameToken(header.name, name)) return &header.value;
  }
  return nullptr;
}

void RemoveHeader(std::vector<Header>& headers, std::string_view name) {
  std::erase_if(headers, [name](const Header& header) {
    return IsSameToken(header.name, name);
  });
}

}  // namespace burdockwheel::http
