#include "ownership/idempotency_key.h"

#include <sodium.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <optional>

#include "peer/peer_message.h"

namespace burdockwheel::ownership {

namespace {

constexpr char kVersion = '1';
constexpr char kSeparator = '-';
constexpr std::size_t kNumberDigits = 16;
constexpr std::size_t kNonceDigits = 2 * KeyNonce::kBytes;
constexpr std::size_t kIncarnationAt = 2;
constexpr std::size_t kSequenceAt = kIncarnationAt + kNumberDigits + 1;
constexpr std::size_t kNonceAt = kSequenceAt + kNumberDigits + 1;
constexpr std::size_t kIssuerAt = kNonceAt + kNonceDigits + 1;
constexpr std::size_t kMostBytes = kIssuerAt + peer::kMostHostIdBytes;

template <std::size_t kSize>
std::string HexOf(const std::array<unsigned char, kSize>& bytes) {
  std::string text(2 * kSize + 1, '\0');
  sodium_bin2hex(text.data(), text.size(), bytes.data(), bytes.size());
  text.pop_back();
  return text;
}

std::string HexOf(std::uint64_t number) {
  std::array<unsigned char, sizeof(number)> bytes{};
  boost::endian::store_big_u64(bytes.data(), number);
  return HexOf(bytes);
}

template <std::size_t kSize>
bool TryReadHex(std::string_view text,
                std::array<unsigned char, kSize>& bytes) {
  std::size_t length = 0;
  const char* end = nullptr;
  if (sodium_hex2bin(bytes.data(), bytes.size(), text.data(), text.size(),
                     nullptr, &length, &end) != 0)
    return false;
  return length == kSize && end == text.data() + text.size();
}

std::optional<std::uint64_t> TryReadNumber(std::string_view text) {
  std::array<unsigned char, sizeof(std::uint64_t)> bytes{};
  if (!TryReadHex(text, bytes)) return std::nullopt;
  return boost::endian::load_big_u64(bytes.data());
}

bool IsIssuerCharacter(char character) {
  return character > ' ' && character <= '~' && character != '"' &&
         character != '\\';
}

std::string_view WithoutQuotes(std::string_view text) {
  if (text.size() < 2 || text.front() != '"' || text.back() != '"') return text;
  return text.substr(1, text.size() - 2);
}

}  // namespace

bool operator==(const KeyNonce& left, const KeyNonce& right) {
  return sodium_memcmp(left.bytes.data(), right.bytes.data(),
                       KeyNonce::kBytes) == 0;
}

std::string IdempotencyKeyText(const IdempotencyKey& key) {
  std::string text(1, kVersion);
  text += kSeparator + HexOf(key.incarnation.value);
  text += kSeparator + HexOf(key.sequence);
  text += kSeparator + HexOf(key.nonce.bytes);
  text += kSeparator + key.issuer.value;
  return text;
}

kernel::Result<IdempotencyKey, KeyParseFailure> ParseIdempotencyKey(
    std::string_view text) {
  text = WithoutQuotes(text);
  if (text.size() > kMostBytes) return KeyParseFailure::kTooLong;
  if (text.size() < kIncarnationAt || text[1] != kSeparator)
    return KeyParseFailure::kMalformed;
  if (text[0] != kVersion) return KeyParseFailure::kUnsupportedVersion;
  if (text.size() < kIssuerAt) return KeyParseFailure::kMalformed;
  for (const std::size_t after : {kSequenceAt, kNonceAt, kIssuerAt})
    if (text[after - 1] != kSeparator) return KeyParseFailure::kMalformed;

  const auto incarnation =
      TryReadNumber(text.substr(kIncarnationAt, kNumberDigits));
  const auto sequence = TryReadNumber(text.substr(kSequenceAt, kNumberDigits));
  if (!incarnation.has_value() || !sequence.has_value())
    return KeyParseFailure::kMalformed;
  IdempotencyKey key;
  key.incarnation.value = *incarnation;
  key.sequence = *sequence;
  if (!TryReadHex(text.substr(kNonceAt, kNonceDigits), key.nonce.bytes))
    return KeyParseFailure::kMalformed;
  key.issuer.value = text.substr(kIssuerAt);
  const std::string& issuer = key.issuer.value;
  if (issuer.empty() ||
      !std::all_of(issuer.begin(), issuer.end(), &IsIssuerCharacter))
    return KeyParseFailure::kBadIssuer;
  return key;
}

}  // namespace burdockwheel::ownership
