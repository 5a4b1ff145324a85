// Decides which publication is in force on a host.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string_view>

#include "configuration/acceptance.h"
#include "model/fleet_configuration.h"

namespace burdockwheel::configuration {

// Accepts a publication if it has no fault and its stamp is higher than that of
// the one in force; otherwise the one in force stays. The verdict depends on
// nothing but the two publications. Pure.
class ConfigurationAcceptor {
 public:
  // Takes a document. If `claimed` is given, a document with another stamp is
  // refused.
  AcceptanceRecord Offer(
      std::string_view document, const ConfigurationSource& source,
      const std::optional<ConfigurationStamp>& claimed = std::nullopt);

  // The configuration in force, or null as long as none was accepted; the host
  // must then take no call.
  std::shared_ptr<const model::FleetConfiguration> CurrentOrNull() const {
    return this->current;
  }

  // Zero as long as none was accepted.
  ConfigurationStamp Stamp() const { return this->stamp; }

 private:
  AcceptanceVerdict Judge(ConfigurationStamp offered) const;
  bool IsRepeated(AcceptanceVerdict verdict, std::uint64_t digest);

  struct Refusal {
    AcceptanceVerdict verdict;
    std::uint64_t digest;  // of the text
    friend bool operator==(const Refusal&, const Refusal&) = default;
  };

  std::shared_ptr<const model::FleetConfiguration> current;
  ConfigurationStamp stamp;
  std::deque<Refusal> recent_refusals;
};

}  // namespace burdockwheel::configuration
