// What a host knows of another entry host and sends to its peers.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "model/identifiers.h"

namespace burdockwheel::membership {

// The order matters: IsNewer compares the values.
enum class MemberState : std::uint8_t {
  kAlive = 0,
  kLeaving = 1,  // it announced that it takes no new calls and will stop
  kSuspect = 2,  // it did not answer; it may be gone or cut off by a partition
  kGone = 3,     // it announced its stop, was replaced, or remained suspect
};

// Returns a short fixed name, such as "suspect".
std::string_view MemberStateName(MemberState state);

// One run of a host's process. A restarted process is another member, even if
// it has the same name and address.
struct MemberEntry {
  model::HostId host;
  model::Incarnation incarnation;
  // Raised by the member itself, so that it can refute what others report.
  std::uint64_t revision = 0;
  std::string address;  // IP address and port that peers send to
  model::FailureDomain failure_domain;
  MemberState state = MemberState::kAlive;
  // Time since it was found to be gone, as far as is known; zero unless it is
  // gone.
  std::chrono::seconds gone_age{0};
  // Hosts that took over its sealed ledger at its planned shutdown.
  std::vector<model::HostId> ledger_holders;

  friend bool operator==(const MemberEntry&, const MemberEntry&) = default;
};

constexpr std::size_t kMaxNameBytes = 64;
constexpr std::size_t kMaxAddressBytes = 56;
constexpr std::size_t kMaxLedgerHolders = 2;

// Returns whether `update` supersedes `known`, which is of the same
// incarnation: a higher revision does, and for the same revision the state with
// the higher value in MemberState (SWIM, section 4.2).
constexpr bool IsNewer(const MemberEntry& update, const MemberEntry& known) {
  if (update.revision != known.revision)
    return update.revision > known.revision;
  return update.state > known.state;
}

}  // namespace burdockwheel::membership
