// What the decisions of MembershipTable depend on.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::membership {

// Protections that a test may switch off to see that it would fail without.
struct MembershipProtections {
  bool has_local_health = true;     // distrust of this host's own view
  bool has_pause_detection = true;  // gaps in the monotonic clock
  bool has_refutation = true;       // answers to suspicions of this host
  bool has_reply_limit = true;      // bound of the answers in a period
};

struct MembershipSettings {
  model::HostId host;
  model::Incarnation incarnation;  // drawn at random at each start, not zero
  std::string address;             // IP number and port that peers send to
  model::FailureDomain failure_domain;
  std::vector<std::string> seed_addresses;
  std::uint64_t random_seed = 0;
  MembershipProtections protections;
};

}  // namespace burdockwheel::membership
