// Binds a key to the one call that it may be used for.
#pragma once

#include <array>
#include <cstddef>

namespace burdockwheel::ownership {

struct ForwardedCall;

// A collision-resistant hash, as another's answer is at stake.
struct CallDigest {
  static constexpr std::size_t kBytes = 32;

  std::array<unsigned char, kBytes> bytes{};

  // Takes the same time whatever the bytes are.
  friend bool operator==(const CallDigest& left, const CallDigest& right);
};

// Hashes the caller, the method, the target and the body by BLAKE2b. Headers
// are left out: a resend may carry another trace or date.
CallDigest DigestOf(const ForwardedCall& call);

}  // namespace burdockwheel::ownership
