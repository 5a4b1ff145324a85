// Defines the settings of MembershipTable.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::membership {

// Protections that a test can switch off, to show that the behavior it checks
// depends on them.
struct MembershipProtections {
  bool has_local_health = true;  // lengthens the timeouts if this host is slow
  bool has_pause_detection = true;  // detects gaps in the monotonic clock
  bool has_refutation = true;       // refutes suspicions of this host
  bool has_reply_limit = true;      // limits the replies in a period
};

struct MembershipSettings {
  model::HostId host;
  model::Incarnation incarnation;  // random at each start, nonzero
  std::string address;             // IP address and port that peers send to
  model::FailureDomain failure_domain;
  std::vector<std::string> seed_addresses;
  // The share of this host's heartbeats that go to other failure domains, where
  // bytes between domains are dear; nothing: as many as chance brings.
  std::optional<double> cross_domain_share;
  std::uint64_t random_seed = 0;
  MembershipProtections protections;
};

}  // namespace burdockwheel::membership
