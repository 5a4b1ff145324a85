// One message between entry hosts, and its codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

#include "kernel/result.h"
#include "model/identifiers.h"

namespace burdockwheel::peer {

// Largest message that a peer may send, sealed and all.
inline constexpr std::size_t kMostMessageBytes = std::size_t{2} << 20U;

// Largest body of a PeerMessage; leaves room for the names and the seal.
inline constexpr std::size_t kMostMessageBodyBytes =
    kMostMessageBytes - std::size_t{4096};

// Longest name of a host.
inline constexpr std::size_t kMostHostIdBytes = 64;

// What a message asks or tells. The numbers are part of the protocol: they are
// never used for anything else.
enum class MessageKind : std::uint8_t {
  kForwardCall = 1,
  kForwardAnswer = 2,
  kHeartbeat = 3,
  kConfigurationOffer = 4,
  kConfigurationRequest = 5,
  kConfigurationPart = 6,
  kCrashSuspicion = 7,
  kLedgerPart = 8,
  kLedgerQuery = 9,
  kLedgerAnswer = 10,
  kLoadDigest = 11,
  kPublicationUpdate = 12,
  kPublicationBeacon = 13,
  // A load digest that the receiver passes on in its failure domain.
  kLoadDigestToRelay = 14,
  // A beacon that the receiver passes on in its failure domain, and a beacon
  // that was passed on.
  kPublicationBeaconToRelay = 15,
  kRelayedPublicationBeacon = 16,
};

inline constexpr int kMessageKindCount = 16;

// Returns a short fixed name, such as "load-digest".
std::string_view MessageKindName(MessageKind kind);

struct PeerMessage {
  MessageKind kind = MessageKind::kHeartbeat;
  model::HostId sender;
  model::Incarnation sender_incarnation;
  std::string body;  // encoded by the module that the kind belongs to

  friend bool operator==(const PeerMessage&, const PeerMessage&) = default;
};

enum class PeerDecodeFailure {
  kTooLarge,
  kMalformed,           // not msgpack, cut short, or of other types
  kUnsupportedVersion,  // of a release with another protocol
  kUnknownKind,
  kFieldOutOfRange,  // a name or body is empty or too long
};

// Encodes a message as msgpack.
std::string EncodePeerMessage(const PeerMessage& message);

kernel::Result<PeerMessage, PeerDecodeFailure> DecodePeerMessage(
    std::string_view bytes);

}  // namespace burdockwheel::peer
