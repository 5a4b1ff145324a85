// Encrypts and authenticates the messages between entry hosts, so that no
// stranger on the network can read, alter, send or repeat one.
#pragma once

#include <array>
#include <atomic>
#include <cstddef>
#include <cstdint>
#include <list>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <utility>

#include "kernel/result.h"
#include "peer/peer_message.h"
#include "peer/peer_transport.h"
#include "peer/replay_window.h"

namespace burdockwheel::peer {

// A secret that all entry hosts of a deployment hold, from their settings.
struct EnvelopeKey {
  static constexpr std::size_t kBytes = 32;

  std::uint32_t id = 0;  // names the key in each message
  std::array<unsigned char, kBytes> secret{};
};

// The keys in force. To rotate: publish the new key as `accepted` everywhere,
// then as `current` with the old one as `accepted`, then without the old one.
struct EnvelopeKeys {
  EnvelopeKey current;                  // seals, and opens
  std::optional<EnvelopeKey> accepted;  // opens only
};

enum class EnvelopeFailure {
  kTooShort,
  kTooLarge,
  kUnsupportedVersion,
  kUnknownKey,
  kNotAuthentic,  // sealed by another key, for another host, or altered
  kReplayed,      // opened before, or too old to tell
  kUndecodable,   // authentic, but of a release with other messages
};

// Seals with XChaCha20-Poly1305 under random nonces. Each message carries a
// sequence number of its sender's incarnation; a receiver refuses numbers that
// it has seen. The address of the receiver is authenticated too, so that a
// message to one host cannot be given to another.
class Envelope {
 public:
  // Most sender incarnations whose sequence numbers are remembered; beyond it
  // the one that was silent for longest is forgotten.
  static constexpr std::size_t kMostSenders = 1024;

  // `own_address` is the address that peers send to.
  Envelope(const EnvelopeKeys& keys, std::string own_address);
  ~Envelope();
  Envelope(const Envelope&) = delete;
  Envelope& operator=(const Envelope&) = delete;

  // Seals a message for the host at `destination`. May be called on any thread.
  // Precondition: the message's sender is this host's incarnation and its body
  // is at most kMostMessageBodyBytes long.
  MessageBytes Seal(const PeerMessage& message, std::string_view destination);

  // Opens what a peer sealed. Must be called on one thread only.
  kernel::Result<PeerMessage, EnvelopeFailure> Open(std::string_view sealed);

 private:
  using Sender = std::pair<model::HostId, model::Incarnation>;
  struct SenderState {
    ReplayWindow window;
    std::list<Sender>::iterator recency;
  };

  const EnvelopeKey* KeyOrNull(std::uint32_t id) const;
  [[nodiscard]] bool TryAcceptSequence(const Sender& sender,
                                       std::uint64_t sequence);

  EnvelopeKeys keys;
  std::string own_address;
  std::atomic<std::uint64_t> last_sequence{0};
  std::map<Sender, SenderState> senders;
  std::list<Sender> senders_by_recency;  // the longest silent first
};

}  // namespace burdockwheel::peer
