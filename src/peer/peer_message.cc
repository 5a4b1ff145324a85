#include "peer/peer_message.h"

#include <utility>

#include "peer/msgpack_codec.h"

namespace burdockwheel::peer {

namespace {

constexpr std::uint8_t kProtocolVersion = 1;

struct WireMessage {
  std::uint8_t version = kProtocolVersion;
  std::uint8_t kind = 0;
  std::string sender;
  std::uint64_t sender_incarnation = 0;
  std::string body;

  MSGPACK_DEFINE(version, kind, sender, sender_incarnation, body)
};

}  // namespace

std::string EncodePeerMessage(const PeerMessage& message) {
  WireMessage wire;
  wire.kind = static_cast<std::uint8_t>(message.kind);
  wire.sender = message.sender.value;
  wire.sender_incarnation = message.sender_incarnation.value;
  wire.body = message.body;
  return Pack(wire);
}

kernel::Result<PeerMessage, PeerDecodeFailure> DecodePeerMessage(
    std::string_view bytes) {
  if (bytes.size() > kMostMessageBytes) return PeerDecodeFailure::kTooLarge;
  auto wire = TryUnpack<WireMessage>(bytes);
  if (!wire.has_value()) return PeerDecodeFailure::kMalformed;
  if (wire->version != kProtocolVersion)
    return PeerDecodeFailure::kUnsupportedVersion;
  if (wire->kind == 0 || wire->kind > kMessageKindCount)
    return PeerDecodeFailure::kUnknownKind;
  if (wire->sender.empty() || wire->sender.size() > kMostHostIdBytes)
    return PeerDecodeFailure::kFieldOutOfRange;
  if (wire->body.size() > kMostMessageBodyBytes)
    return PeerDecodeFailure::kFieldOutOfRange;
  PeerMessage message;
  message.kind = static_cast<MessageKind>(wire->kind);
  message.sender = {std::move(wire->sender)};
  message.sender_incarnation = {wire->sender_incarnation};
  message.body = std::move(wire->body);
  return message;
}

std::string_view MessageKindName(MessageKind kind) {
  switch (kind) {
    case MessageKind::kForwardCall:
      return "forward-call";
    case MessageKind::kForwardAnswer:
      return "forward-answer";
    case MessageKind::kHeartbeat:
      return "heartbeat";
    case MessageKind::kConfigurationOffer:
      return "configuration-offer";
    case MessageKind::kConfigurationRequest:
      return "configuration-request";
    case MessageKind::kConfigurationPart:
      return "configuration-part";
    case MessageKind::kCrashSuspicion:
      return "crash-suspicion";
    case MessageKind::kLedgerPart:
      return "ledger-part";
    case MessageKind::kLedgerQuery:
      return "ledger-query";
    case MessageKind::kLedgerAnswer:
      return "ledger-answer";
    case MessageKind::kLoadDigest:
      return "load-digest";
    case MessageKind::kPublicationUpdate:
      return "publication-update";
    case MessageKind::kPublicationBeacon:
      return "publication-beacon";
    case MessageKind::kLoadDigestToRelay:
      return "load-digest-to-relay";
    case MessageKind::kPublicationBeaconToRelay:
      return "publication-beacon-to-relay";
    case MessageKind::kRelayedPublicationBeacon:
      return "relayed-publication-beacon";
  }
  return "unspecified";
}

}  // namespace burdockwheel::peer
