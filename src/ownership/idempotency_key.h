// The key under which a call that must not run twice is sent, and its text.
#pragma once

#include <array>
#include <compare>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/identifiers.h"

namespace burdockwheel::ownership {

// A random number that makes a key unguessable; drawn at the edge of the host.
struct KeyNonce {
  static constexpr std::size_t kBytes = 16;

  std::array<unsigned char, kBytes> bytes{};

  // Takes the same time whatever the bytes are.
  friend bool operator==(const KeyNonce& left, const KeyNonce& right);
};

// Names the one host incarnation that may run the call, and the slot in its
// ledger. The value of the header Idempotency-Key
// (draft-ietf-httpapi-idempotency-key-header).
struct IdempotencyKey {
  model::HostId issuer;
  model::Incarnation incarnation;
  std::uint64_t sequence = 0;  // rises with each key of the incarnation
  KeyNonce nonce;

  friend bool operator==(const IdempotencyKey&,
                         const IdempotencyKey&) = default;
};

enum class KeyParseFailure {
  kTooLong,
  kUnsupportedVersion,
  kMalformed,
  kBadIssuer,  // empty, or has characters that no host's name has
};

// Returns the text of a key without quotes: the version, the incarnation, the
// sequence number, the nonce and the issuer's name, parted by "-".
std::string IdempotencyKeyText(const IdempotencyKey& key);

// Parses the text of a key, with or without the quotes of a structured field's
// string (RFC 8941).
kernel::Result<IdempotencyKey, KeyParseFailure> ParseIdempotencyKey(
    std::string_view text);

}  // namespace burdockwheel::ownership
