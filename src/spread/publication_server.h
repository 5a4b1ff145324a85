// Answers the requests of peers for the configuration in force.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <string>

#include "configuration/configuration_stamp.h"
#include "kernel/instant.h"
#include "model/fleet_configuration.h"
#include "spread/configuration_delta.h"
#include "spread/configuration_messages.h"

namespace burdockwheel::spread {

// Keeps digests of the last configurations, so that a peer that holds one of
// them gets only what changed since. Pure.
class PublicationServer {
 public:
  static constexpr std::size_t kMostHistory = 32;
  static constexpr std::size_t kMostCachedDeltas = 4;
  // Requests beyond it get no answer; the peers ask others.
  static constexpr int kMostPartsInSecond = 64;

  // Takes the configuration that came into force.
  void Publish(const configuration::ConfigurationStamp& stamp,
               std::shared_ptr<const model::FleetConfiguration> configuration);

  // Returns the part that was asked for. If another configuration than the
  // wanted one is in force, returns the first part of that one.
  std::optional<ConfigurationPart> PartOrNothing(
      kernel::Instant now, const ConfigurationRequest& request);

 private:
  struct Past {
    configuration::ConfigurationStamp stamp;
    ConfigurationDigests digests;
  };

  const ConfigurationDigests* DigestsOrNull(
      const configuration::ConfigurationStamp& stamp) const;
  const std::string& DeltaFrom(const configuration::ConfigurationStamp& base,
                               const ConfigurationDigests& digests);
  [[nodiscard]] bool TrySpend(kernel::Instant now);

  configuration::ConfigurationStamp stamp;
  std::shared_ptr<const model::FleetConfiguration> configuration;
  std::deque<Past> history;                     // the newest last
  std::map<std::uint64_t, std::string> deltas;  // by the base's digest
  kernel::Instant second_begin;
  int parts_in_second = 0;
};

}  // namespace burdockwheel::spread
