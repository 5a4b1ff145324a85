#include "stand_ins/common/token_bytes.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <system_error>

namespace burdockwheel::stand_ins {
namespace {

constexpr std::size_t kWordBytes = sizeof(std::uint64_t);
constexpr std::size_t kTokenDigits = 16;

using Word = std::array<char, kWordBytes>;

// SplitMix64 (Steele, Lea and Flood, OOPSLA 2014) with the word's number as the
// state, spelled in lower-case letters so that a body can be read in a trace.
Word TokenWord(std::uint64_t token, std::uint64_t number) {
  std::uint64_t mixed = token + (number + 1) * 0x9e3779b97f4a7c15ULL;
  mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9ULL;
  mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebULL;
  mixed ^= mixed >> 31U;
  Word word{};
  for (char& letter : word) {
    letter = static_cast<char>('a' + (mixed & 15U));
    mixed >>= 8U;
  }
  return word;
}

}  // namespace

void AppendTokenBytes(std::uint64_t token, std::size_t size, std::string* out) {
  for (std::size_t at = 0; at < size; at += kWordBytes) {
    const Word word = TokenWord(token, at / kWordBytes);
    out->append(word.data(), std::min(kWordBytes, size - at));
  }
}

bool IsTokenBytes(std::uint64_t token, std::size_t offset,
                  std::string_view bytes) {
  std::size_t at = offset;
  while (!bytes.empty()) {
    const Word word = TokenWord(token, at / kWordBytes);
    const std::size_t skipped = at % kWordBytes;
    const std::size_t compared = std::min(kWordBytes - skipped, bytes.size());
    if (bytes.substr(0, compared) !=
        std::string_view(word.data() + skipped, compared))
      return false;
    bytes.remove_prefix(compared);
    at += compared;
  }
  return true;
}

std::string FormatToken(std::uint64_t token) {
  std::string text(kTokenDigits, '0');
  for (auto digit = text.rbegin(); digit != text.rend(); ++digit) {
    *digit = "0123456789abcdef"[token & 15U];
    token >>= 4U;
  }
  return text;
}

std::optional<std::uint64_t> ParseTokenOrNull(std::string_view text) {
  if (text.size() != kTokenDigits) return std::nullopt;
  std::uint64_t token = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), token, 16);
  if (error != std::errc() || end != text.data() + text.size())
    return std::nullopt;
  return token;
}

}  // namespace burdockwheel::stand_ins
