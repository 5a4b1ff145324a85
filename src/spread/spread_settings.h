// What the decisions of ConfigurationSpread depend on.
#pragma once

#include <cstdint>

#include "model/identifiers.h"

namespace burdockwheel::spread {

// Protections that a test may switch off to see that it would fail without.
struct SpreadProtections {
  bool has_peer_fetch = true;      // fetching what peers have in force
  bool has_fallback = true;        // own slow reads of those that do not watch
  bool has_confirmation = true;    // asking a peer at start and after a pause
  bool has_refusal_memory = true;  // not asking again for what was refused
};

struct SpreadSettings {
  model::HostId host;
  model::Incarnation incarnation;
  model::FailureDomain failure_domain;
  std::uint64_t random_seed = 0;
  // The platform tells every host of each document (DocumentPublished) and
  // never of an old one; the host then reads nothing itself.
  bool is_told_by_platform = false;
  SpreadProtections protections;
};

}  // namespace burdockwheel::spread
