#include "membership/heartbeat.h"

#include <optional>
#include <utility>

#include "peer/msgpack_codec.h"

namespace burdockwheel::membership {

namespace {

constexpr std::uint8_t kProtocolVersion = 1;
constexpr int kMaxCrashes = 1'000'000;

struct WireEntry {
  std::string host;
  std::uint64_t incarnation = 0;
  std::uint64_t revision = 0;
  std::string address;
  std::string failure_domain;
  std::uint8_t state = 0;
  std::uint32_t gone_age = 0;
  std::vector<std::string> ledger_holders;

  MSGPACK_DEFINE(host, incarnation, revision, address, failure_domain, state,
                 gone_age, ledger_holders)
};

struct WireHint {
  std::uint64_t fingerprint = 0;
  std::string service;
  std::string worker;
  int crashes = 0;

  MSGPACK_DEFINE(fingerprint, service, worker, crashes)
};

struct WireHeartbeat {
  std::uint8_t version = kProtocolVersion;
  std::uint8_t kind = 0;
  std::uint32_t probe = 0;
  std::uint64_t target = 0;
  std::string target_address;
  std::string requester_address;
  WireEntry sender;
  std::uint64_t configuration_version = 0;
  std::uint64_t configuration_digest = 0;
  std::vector<WireEntry> entries;
  std::vector<WireHint> hints;

  MSGPACK_DEFINE(version, kind, probe, target, target_address,
                 requester_address, sender, configuration_version,
                 configuration_digest, entries, hints)
};

WireEntry ToWire(const MemberEntry& entry) {
  WireEntry wire{entry.host.value,
                 entry.incarnation.value,
                 entry.revision,
                 entry.address,
                 entry.failure_domain.value,
                 static_cast<std::uint8_t>(entry.state),
                 static_cast<std::uint32_t>(entry.gone_age.count()),
                 {}};
  for (const auto& holder : entry.ledger_holders)
    wire.ledger_holders.push_back(holder.value);
  return wire;
}

WireHint ToWire(const CrashHint& hint) {
  return {hint.fingerprint, hint.service.value, hint.worker.value,
          hint.crashes};
}

bool IsNameLengthValid(const std::string& name) {
  return !name.empty() && name.size() <= kMaxNameBytes;
}

std::optional<MemberEntry> TryFromWire(WireEntry&& wire) {
  if (!IsNameLengthValid(wire.host) ||
      !IsNameLengthValid(wire.failure_domain) || wire.address.empty() ||
      wire.address.size() > kMaxAddressBytes || wire.incarnation == 0 ||
      wire.state > static_cast<std::uint8_t>(MemberState::kGone) ||
      wire.ledger_holders.size() > kMaxLedgerHolders)
    return std::nullopt;
  MemberEntry entry;
  entry.host = {std::move(wire.host)};
  entry.incarnation = {wire.incarnation};
  entry.revision = wire.revision;
  entry.address = std::move(wire.address);
  entry.failure_domain = {std::move(wire.failure_domain)};
  entry.state = static_cast<MemberState>(wire.state);
  entry.gone_age = std::chrono::seconds(wire.gone_age);
  for (auto& holder : wire.ledger_holders) {
    if (!IsNameLengthValid(holder)) return std::nullopt;
    entry.ledger_holders.push_back({std::move(holder)});
  }
  return entry;
}

std::optional<CrashHint> TryFromWire(WireHint&& wire) {
  if (!IsNameLengthValid(wire.service) || wire.worker.empty() ||
      wire.worker.size() > kMaxAddressBytes || wire.crashes <= 0 ||
      wire.crashes > kMaxCrashes)
    return std::nullopt;
  return CrashHint{wire.fingerprint,
                   {std::move(wire.service)},
                   {std::move(wire.worker)},
                   wire.crashes};
}

// Appends the decoded `wires` to `items`. Returns false, after appending those
// that precede it, if one is out of range.
template <typename Wire, typename Item>
bool TryAppendDecoded(std::vector<Wire>& wires, std::vector<Item>& items) {
  for (auto& wire : wires) {
    auto item = TryFromWire(std::move(wire));
    if (!item) return false;
    items.push_back(std::move(*item));
  }
  return true;
}

bool IsHeaderInRange(const WireHeartbeat& wire) {
  return wire.kind >= static_cast<std::uint8_t>(HeartbeatKind::kProbe) &&
         wire.kind <= static_cast<std::uint8_t>(HeartbeatKind::kMembers) &&
         wire.target_address.size() <= kMaxAddressBytes &&
         wire.requester_address.size() <= kMaxAddressBytes;
}

}  // namespace

std::string EncodeHeartbeat(const Heartbeat& heartbeat) {
  WireHeartbeat wire;
  wire.kind = static_cast<std::uint8_t>(heartbeat.kind);
  wire.probe = heartbeat.probe;
  wire.target = heartbeat.target.value;
  wire.target_address = heartbeat.target_address;
  wire.requester_address = heartbeat.requester_address;
  wire.sender = ToWire(heartbeat.sender);
  wire.configuration_version = heartbeat.stamp.version;
  wire.configuration_digest = heartbeat.stamp.digest;
  for (const auto& entry : heartbeat.entries)
    wire.entries.push_back(ToWire(entry));
  for (const auto& hint : heartbeat.hints) wire.hints.push_back(ToWire(hint));
  return peer::Pack(wire);
}

kernel::Result<Heartbeat, HeartbeatFailure> DecodeHeartbeat(
    std::string_view bytes) {
  if (bytes.size() > kMaxMembersBytes) return HeartbeatFailure::kTooLarge;
  auto wire = peer::TryUnpack<WireHeartbeat>(bytes);
  if (!wire) return HeartbeatFailure::kMalformed;
  const bool is_member_list =
      wire->kind == static_cast<std::uint8_t>(HeartbeatKind::kMembers);
  if (!is_member_list && bytes.size() > kMaxHeartbeatBytes)
    return HeartbeatFailure::kTooLarge;
  if (wire->version != kProtocolVersion)
    return HeartbeatFailure::kUnsupportedVersion;
  if (!IsHeaderInRange(*wire)) return HeartbeatFailure::kFieldOutOfRange;
  auto sender = TryFromWire(std::move(wire->sender));
  if (!sender) return HeartbeatFailure::kFieldOutOfRange;
  Heartbeat heartbeat;
  heartbeat.kind = static_cast<HeartbeatKind>(wire->kind);
  heartbeat.probe = wire->probe;
  heartbeat.target = {wire->target};
  heartbeat.target_address = std::move(wire->target_address);
  heartbeat.requester_address = std::move(wire->requester_address);
  heartbeat.sender = std::move(*sender);
  heartbeat.stamp = {wire->configuration_version, wire->configuration_digest};
  if (!TryAppendDecoded(wire->entries, heartbeat.entries) ||
      !TryAppendDecoded(wire->hints, heartbeat.hints))
    return HeartbeatFailure::kFieldOutOfRange;
  return heartbeat;
}

std::size_t EncodedSize(const MemberEntry& entry) {
  return peer::Pack(ToWire(entry)).size();
}

std::size_t EncodedSize(const CrashHint& hint) {
  return peer::Pack(ToWire(hint)).size();
}

}  // namespace burdockwheel::membership
