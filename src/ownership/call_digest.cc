#include "ownership/call_digest.h"

#include <sodium.h>

#include <boost/endian/conversion.hpp>
#include <string>

#include "ownership/forwarded_call.h"

namespace burdockwheel::ownership {

namespace {

// Hashes the length first, so that no two lists of fields give the same bytes.
void HashField(crypto_generichash_state& state, const std::string& field) {
  std::array<unsigned char, sizeof(std::uint64_t)> length{};
  boost::endian::store_big_u64(length.data(), field.size());
  crypto_generichash_update(&state, length.data(), length.size());
  crypto_generichash_update(
      &state, reinterpret_cast<const unsigned char*>(field.data()),  // NOLINT
      field.size());
}

}  // namespace

bool operator==(const CallDigest& left, const CallDigest& right) {
  return sodium_memcmp(left.bytes.data(), right.bytes.data(),
                       CallDigest::kBytes) == 0;
}

CallDigest DigestOf(const ForwardedCall& call) {
  crypto_generichash_state state;
  crypto_generichash_init(&state, nullptr, 0, CallDigest::kBytes);
  for (const std::string* field :
       {&call.caller, &call.method, &call.target, &call.body})
    HashField(state, *field);
  CallDigest digest;
  crypto_generichash_final(&state, digest.bytes.data(), digest.bytes.size());
  return digest;
}

}  // namespace burdockwheel::ownership
