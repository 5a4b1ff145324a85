// Protections that a test switches off to show that it would notice their loss.
#pragma once

#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "ownership/ownership_settings.h"

namespace burdockwheel::host {

// Returns the protection that test settings name so, such as "no-takeover".
std::optional<ownership::Protection> ProtectionOrNull(std::string_view name);

// Passes over unknown names.
std::set<ownership::Protection> ProtectionsOf(
    const std::vector<std::string>& names);

}  // namespace burdockwheel::host
