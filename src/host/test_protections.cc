#include "host/test_protections.h"

#include <algorithm>
#include <array>
#include <utility>

namespace burdockwheel::host {

namespace {

using ownership::Protection;

constexpr std::array<std::pair<std::string_view, Protection>, 4> kNames = {
    {{"no-takeover", Protection::kNoTakeover},
     {"use-recorded", Protection::kUseRecorded},
     {"unknown-recorded", Protection::kUnknownRecorded},
     {"own-incarnation-only", Protection::kOwnIncarnationOnly}}};

}  // namespace

std::optional<Protection> ProtectionOrNull(std::string_view name) {
  const auto* const found =
      std::find_if(kNames.begin(), kNames.end(),
                   [name](const auto& entry) { return entry.first == name; });
  if (found == kNames.end()) return std::nullopt;
  return found->second;
}

std::set<Protection> ProtectionsOf(const std::vector<std::string>& names) {
  std::set<Protection> protections;
  for (const auto& name : names) {
    const auto protection = ProtectionOrNull(name);
    if (protection) protections.insert(*protection);
  }
  return protections;
}

}  // namespace burdockwheel::host
