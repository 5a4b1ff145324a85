#include "peer/envelope.h"

#include <sodium.h>

#include <algorithm>
#include <boost/endian/conversion.hpp>
#include <cstdlib>

namespace burdockwheel::peer {

namespace {

constexpr unsigned char kVersion = 1;
constexpr std::size_t kKeyIdBytes = sizeof(std::uint32_t);
constexpr std::size_t kHeaderBytes = 1 + kKeyIdBytes;  // version, key id
constexpr std::size_t kNonceBytes =
    crypto_aead_xchacha20poly1305_ietf_NPUBBYTES;
constexpr std::size_t kTagBytes = crypto_aead_xchacha20poly1305_ietf_ABYTES;
constexpr std::size_t kSequenceBytes = sizeof(std::uint64_t);
constexpr std::size_t kLeastBytes =
    kHeaderBytes + kNonceBytes + kSequenceBytes + kTagBytes;

static_assert(EnvelopeKey::kBytes ==
              crypto_aead_xchacha20poly1305_ietf_KEYBYTES);

unsigned char* Bytes(std::string& text) {
  return reinterpret_cast<unsigned char*>(text.data());  // NOLINT
}

const unsigned char* ConstBytes(std::string_view text) {
  return reinterpret_cast<const unsigned char*>(text.data());  // NOLINT
}

// The authenticated, unencrypted data: the header and the receiver.
std::string AdditionalData(std::string_view header,
                           std::string_view destination) {
  std::string data(header);
  data.append(destination);
  return data;
}

}  // namespace

Envelope::Envelope(const EnvelopeKeys& keys, std::string own_address)
    : keys(keys), own_address(std::move(own_address)) {
  // Without the library's random numbers no message may be sealed.
  if (sodium_init() < 0) std::abort();
}

Envelope::~Envelope() { sodium_memzero(&this->keys, sizeof(this->keys)); }

MessageBytes Envelope::Seal(const PeerMessage& message,
                            std::string_view destination) {
  const std::uint64_t sequence =
      this->last_sequence.fetch_add(1, std::memory_order_relaxed) + 1;
  std::string plain(kSequenceBytes, '\0');
  boost::endian::store_big_u64(Bytes(plain), sequence);
  plain += EncodePeerMessage(message);

  std::string sealed(kHeaderBytes + kNonceBytes + plain.size() + kTagBytes,
                     '\0');
  sealed[0] = static_cast<char>(kVersion);
  boost::endian::store_big_u32(Bytes(sealed) + 1, this->keys.current.id);
  unsigned char* nonce = Bytes(sealed) + kHeaderBytes;
  randombytes_buf(nonce, kNonceBytes);
  const std::string additional =
      AdditionalData(sealed.substr(0, kHeaderBytes), destination);
  crypto_aead_xchacha20poly1305_ietf_encrypt(
      nonce + kNonceBytes, nullptr, ConstBytes(plain), plain.size(),
      ConstBytes(additional), additional.size(), nullptr, nonce,
      this->keys.current.secret.data());
  return sealed;
}

kernel::Result<PeerMessage, EnvelopeFailure> Envelope::Open(
    std::string_view sealed) {
  if (sealed.size() < kLeastBytes) return EnvelopeFailure::kTooShort;
  if (sealed.size() > kMostMessageBytes) return EnvelopeFailure::kTooLarge;
  if (ConstBytes(sealed)[0] != kVersion)
    return EnvelopeFailure::kUnsupportedVersion;
  const EnvelopeKey* key =
      this->KeyOrNull(boost::endian::load_big_u32(ConstBytes(sealed) + 1));
  if (key == nullptr) return EnvelopeFailure::kUnknownKey;

  const std::string additional =
      AdditionalData(sealed.substr(0, kHeaderBytes), this->own_address);
  const unsigned char* nonce = ConstBytes(sealed) + kHeaderBytes;
  const std::size_t cipher_bytes = sealed.size() - kHeaderBytes - kNonceBytes;
  std::string plain(cipher_bytes - kTagBytes, '\0');
  if (crypto_aead_xchacha20poly1305_ietf_decrypt(
          Bytes(plain), nullptr, nullptr, nonce + kNonceBytes, cipher_bytes,
          ConstBytes(additional), additional.size(), nonce,
          key->secret.data()) != 0)
    return EnvelopeFailure::kNotAuthentic;

  const std::string_view plain_view = plain;
  auto message = DecodePeerMessage(plain_view.substr(kSequenceBytes));
  if (!message.HasValue()) return EnvelopeFailure::kUndecodable;
  const std::uint64_t sequence = boost::endian::load_big_u64(Bytes(plain));
  const Sender sender(message.Value().sender,
                      message.Value().sender_incarnation);
  if (!this->TryAcceptSequence(sender, sequence))
    return EnvelopeFailure::kReplayed;
  return std::move(message).Value();
}

const EnvelopeKey* Envelope::KeyOrNull(std::uint32_t id) const {
  if (this->keys.current.id == id) return &this->keys.current;
  if (this->keys.accepted.has_value() && this->keys.accepted->id == id)
    return &*this->keys.accepted;
  return nullptr;
}

bool Envelope::TryAcceptSequence(const Sender& sender, std::uint64_t sequence) {
  auto found = this->senders.find(sender);
  if (found == this->senders.end()) {
    if (this->senders.size() >= kMostSenders) {
      this->senders.erase(this->senders_by_recency.front());
      this->senders_by_recency.pop_front();
    }
    this->senders_by_recency.push_back(sender);
    const auto recency = std::prev(this->senders_by_recency.end());
    found = this->senders.emplace(sender, SenderState{{}, recency}).first;
  }
  this->senders_by_recency.splice(this->senders_by_recency.end(),
                                  this->senders_by_recency,
                                  found->second.recency);
  return found->second.window.TryAccept(sequence);
}

}  // namespace burdockwheel::peer
