// What operators should know of a configuration before they send it, beyond the
// faults for which hosts refuse it.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "model/fleet_configuration.h"

namespace burdockwheel::configuration {

enum class FindingKind {
  kNeverUsed,      // a service, target or call kind that no call can reach
  kContradiction,  // limits of which one makes the other pointless
  kAdjusted,       // a number that hosts do not take as it is stated
  kChange          // differs from the version in force
};

// Returns a short fixed name, such as "never-used".
std::string_view FindingKindName(FindingKind kind);

struct Finding {
  FindingKind kind = FindingKind::kNeverUsed;
  std::string subject;      // such as "route r-1" or "service slots"
  std::string explanation;  // a sentence

  friend bool operator==(const Finding&, const Finding&) = default;
};

using Findings = std::vector<Finding>;

// Both in the order of the subjects' names.
Findings ReviewConfiguration(const model::FleetConfiguration& configuration);
Findings CompareConfigurations(const model::FleetConfiguration& in_force,
                               const model::FleetConfiguration& next);

}  // namespace burdockwheel::configuration
