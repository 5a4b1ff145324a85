#include "stand_ins/platform/store_query.h"

#include <algorithm>
#include <charconv>

namespace burdockwheel::stand_ins {

namespace {

constexpr int kHexadecimal = 16;

std::string WithoutEscapes(std::string_view text) {
  std::string plain;
  for (std::size_t at = 0; at < text.size(); ++at) {
    int code = 0;
    const bool is_escape =
        text[at] == '%' && at + 2 < text.size() &&
        std::from_chars(text.data() + at + 1, text.data() + at + 3, code,
                        kHexadecimal)
                .ptr == text.data() + at + 3;
    plain.push_back(is_escape ? static_cast<char>(code) : text[at]);
    if (is_escape) at += 2;
  }
  return plain;
}

}  // namespace

std::optional<std::string> QueryValueOrNull(std::string_view target,
                                            std::string_view name) {
  const std::size_t query = target.find('?');
  if (query == std::string_view::npos) return std::nullopt;
  std::string_view rest = target.substr(query + 1);
  while (!rest.empty()) {
    const std::string_view part = rest.substr(0, rest.find('&'));
    rest.remove_prefix(std::min(rest.size(), part.size() + 1));
    if (!part.starts_with(name) || part.size() <= name.size()) continue;
    if (part[name.size()] != '=') continue;
    return WithoutEscapes(part.substr(name.size() + 1));
  }
  return std::nullopt;
}

std::optional<std::uint64_t> QueryNumberOrNull(std::string_view target,
                                               std::string_view name) {
  const auto digits = QueryValueOrNull(target, name);
  if (!digits) return std::nullopt;
  std::uint64_t number = 0;
  const auto* const end = digits->data() + digits->size();
  const auto parsed = std::from_chars(digits->data(), end, number);
  if (parsed.ec != std::errc() || parsed.ptr != end) return std::nullopt;
  return number;
}

}  // namespace burdockwheel::stand_ins
