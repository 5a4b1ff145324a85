#include "spread/configuration_messages.h"

#include <utility>

#include "peer/msgpack_codec.h"

namespace burdockwheel::spread {

namespace {

constexpr std::uint8_t kProtocolVersion = 1;

struct WireRequest {
  std::uint8_t protocol = kProtocolVersion;
  std::uint64_t base_version = 0;
  std::uint64_t base_digest = 0;
  std::uint64_t wanted_version = 0;
  std::uint64_t wanted_digest = 0;
  std::uint32_t part = 0;

  MSGPACK_DEFINE(protocol, base_version, base_digest, wanted_version,
                 wanted_digest, part)
};

struct WirePart {
  std::uint8_t protocol = kProtocolVersion;
  std::uint64_t base_version = 0;
  std::uint64_t base_digest = 0;
  std::uint64_t version = 0;
  std::uint64_t digest = 0;
  std::uint32_t part = 0;
  std::uint32_t part_count = 0;
  std::string bytes;

  MSGPACK_DEFINE(protocol, base_version, base_digest, version, digest, part,
                 part_count, bytes)
};

}  // namespace

std::string EncodeRequest(const ConfigurationRequest& request) {
  return peer::Pack(WireRequest{kProtocolVersion, request.base.version,
                                request.base.digest, request.wanted.version,
                                request.wanted.digest, request.part});
}

std::string EncodePart(const ConfigurationPart& part) {
  return peer::Pack(WirePart{
      kProtocolVersion, part.base.version, part.base.digest, part.stamp.version,
      part.stamp.digest, part.part, part.part_count, part.bytes});
}

std::optional<ConfigurationRequest> TryDecodeRequest(std::string_view body) {
  const auto wire = peer::TryUnpack<WireRequest>(body);
  if (!wire || wire->protocol != kProtocolVersion) return std::nullopt;
  if (wire->part >= kMostParts) return std::nullopt;
  return ConfigurationRequest{{wire->base_version, wire->base_digest},
                              {wire->wanted_version, wire->wanted_digest},
                              wire->part};
}

std::optional<ConfigurationPart> TryDecodePart(std::string_view body) {
  auto wire = peer::TryUnpack<WirePart>(body);
  if (!wire || wire->protocol != kProtocolVersion) return std::nullopt;
  if (wire->version == 0 || wire->part_count > kMostParts ||
      wire->part >= wire->part_count || wire->bytes.size() > kMostPartBytes)
    return std::nullopt;
  return ConfigurationPart{{wire->base_version, wire->base_digest},
                           {wire->version, wire->digest},
                           wire->part,
                           wire->part_count,
                           std::move(wire->bytes)};
}

}  // namespace burdockwheel::spread
