#include "http/hop_by_hop.h"

#include <algorithm>
#include <array>
#include <string>
#include <string_view>

namespace burdockwheel::http {

namespace {

constexpr std::array<std::string_view, 9> kConnectionHeaders = {
    "Connection", "Proxy-Connection", "Keep-Alive",
    "TE",         "Trailer",          "Transfer-Encoding",
    "Upgrade",    "Expect",           "Content-Length"};

std::string_view Trim(std::string_view text) {
  constexpr std::string_view kBlanks = " \t";
  const auto first = text.find_first_not_of(kBlanks);
  if (first == std::string_view::npos) return {};
  return text.substr(first, text.find_last_not_of(kBlanks) - first + 1);
}

std::vector<std::string> TokensNamedByConnection(
    const std::vector<Header>& headers) {
  std::vector<std::string> tokens;
  for (const auto& header : headers) {
    if (!IsSameToken(header.name, "Connection")) continue;
    std::string_view rest = header.value;
    while (!rest.empty()) {
      const auto comma = std::min(rest.find(','), rest.size());
      tokens.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  return tokens;
}

}  // namespace

void RemoveHopByHopHeaders(std::vector<Header>& headers) {
  // RFC 9110, 7.6.1: fields named by Connection are removed before forwarding.
  const auto named = TokensNamedByConnection(headers);
  std::erase_if(headers, [&named](const Header& header) {
    const auto is_same = [&header](std::string_view name) {
      return IsSameToken(header.name, name);
    };
    return std::any_of(kConnectionHeaders.begin(), kConnectionHeaders.end(),
                       is_same) ||
           std::any_of(named.begin(), named.end(), is_same);
  });
}

}  // namespace burdockwheel::http
