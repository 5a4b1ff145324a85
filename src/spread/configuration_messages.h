// The bodies of the messages by which hosts fetch a configuration from peers.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "configuration/configuration_parser.h"
#include "configuration/configuration_stamp.h"

namespace burdockwheel::spread {

// The bytes of one part; with the seal it fits one message easily.
constexpr std::size_t kMostPartBytes = 32'768;
// Parts of the largest document, with some room for its envelope.
constexpr std::uint32_t kMostParts =
    configuration::kMostDocumentBytes / kMostPartBytes + 16;

// Body of a kConfigurationRequest: asks for one part of what leads from `base`
// to the configuration in force at the receiver.
struct ConfigurationRequest {
  configuration::ConfigurationStamp base;  // zero: the whole is wanted
  configuration::ConfigurationStamp wanted;
  std::uint32_t part = 0;

  friend bool operator==(const ConfigurationRequest&,
                         const ConfigurationRequest&) = default;
};

// Body of a kConfigurationPart.
struct ConfigurationPart {
  configuration::ConfigurationStamp base;   // zero: the parts are the whole
  configuration::ConfigurationStamp stamp;  // that the parts lead to
  std::uint32_t part = 0;
  std::uint32_t part_count = 1;
  std::string bytes;

  friend bool operator==(const ConfigurationPart&,
                         const ConfigurationPart&) = default;
};

std::string EncodeRequest(const ConfigurationRequest& request);
std::string EncodePart(const ConfigurationPart& part);

// Return nothing for a body that is malformed or out of range.
std::optional<ConfigurationRequest> TryDecodeRequest(std::string_view body);
std::optional<ConfigurationPart> TryDecodePart(std::string_view body);

}  // namespace burdockwheel::spread
