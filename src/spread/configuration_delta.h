// What turns one configuration into another.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/fleet_configuration.h"

namespace burdockwheel::spread {

// Stands for one service of a configuration.
struct ServiceDigest {
  std::uint64_t name = 0;     // a digest of the name
  std::uint64_t content = 0;  // a digest of the definition
};

// Stands for a whole configuration.
struct ConfigurationDigests {
  std::vector<ServiceDigest> services;  // in ascending order of the names'
  // A digest of what belongs to no service: the routes and callers' limits.
  std::uint64_t fleet_wide = 0;
};

ConfigurationDigests DigestsOf(const model::FleetConfiguration& configuration);

// Returns, encoded, what turns the configuration with these digests into
// `configuration`: the services that differ and the names of those that are no
// longer there. Empty digests give the whole.
std::string EncodeDelta(const ConfigurationDigests& base,
                        const model::FleetConfiguration& configuration);

// Returns the document that a delta makes of `base`, or of nothing if it is
// null. Returns nothing for bytes that are malformed. The document is not
// checked.
std::optional<std::string> TryApplyDelta(const model::FleetConfiguration* base,
                                         std::string_view delta);

}  // namespace burdockwheel::spread
