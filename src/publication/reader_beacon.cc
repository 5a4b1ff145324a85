#include "publication/reader_beacon.h"

#include <algorithm>
#include <utility>

#include "peer/msgpack_codec.h"
#include "publication/wire_revision.h"

namespace burdockwheel::publication {

namespace {

constexpr std::uint8_t kBeaconProtocol = 1;
constexpr std::int64_t kMaxAgeMs = 3'600'000;

struct WireBeacon {
  std::uint8_t protocol = kBeaconProtocol;
  std::uint64_t revision = 0;
  std::int64_t answered_ago_ms = 0;
  std::int64_t newest_answer_ago_ms = 0;
  WireRevision::Excess revision_excess = {};

  MSGPACK_DEFINE(protocol, revision, answered_ago_ms, newest_answer_ago_ms,
                 revision_excess)
};

struct WireRelayedBeacon {
  std::uint64_t origin = 0;
  std::string body;

  MSGPACK_DEFINE(origin, body)
};

bool IsAge(std::int64_t milliseconds) {
  return milliseconds >= 0 && milliseconds <= kMaxAgeMs;
}

}  // namespace

std::string EncodeBeacon(const ReaderBeacon& beacon) {
  return peer::Pack(WireBeacon{
      kBeaconProtocol, WireRevision::Pack(beacon.revision),
      std::clamp<std::int64_t>(beacon.answered_ago.count(), 0, kMaxAgeMs),
      std::clamp<std::int64_t>(beacon.newest_answer_ago.count(), 0, kMaxAgeMs),
      WireRevision::ExcessOf(beacon.revision)});
}

std::optional<ReaderBeacon> TryDecodeBeacon(std::string_view body) {
  const auto wire = peer::TryUnpack<WireBeacon>(body);
  if (!wire || wire->protocol != kBeaconProtocol) return std::nullopt;
  if (!IsAge(wire->answered_ago_ms) || !IsAge(wire->newest_answer_ago_ms))
    return std::nullopt;
  const auto revision =
      WireRevision::Unpack(wire->revision, wire->revision_excess);
  if (!revision) return std::nullopt;
  return ReaderBeacon{*revision,
                      std::chrono::milliseconds(wire->answered_ago_ms),
                      std::chrono::milliseconds(wire->newest_answer_ago_ms)};
}

std::string EncodeRelayedBeacon(const RelayedBeacon& relayed) {
  return peer::Pack(WireRelayedBeacon{relayed.origin.value, relayed.body});
}

std::optional<RelayedBeacon> TryDecodeRelayedBeacon(std::string_view body) {
  auto wire = peer::TryUnpack<WireRelayedBeacon>(body);
  if (!wire) return std::nullopt;
  return RelayedBeacon{{wire->origin}, std::move(wire->body)};
}

}  // namespace burdockwheel::publication
