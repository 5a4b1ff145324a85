// Holds what a host knows of the members of the fleet, within a bound.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "kernel/instant.h"
#include "membership/member.h"
#include "model/identifiers.h"

namespace burdockwheel::membership {

struct Member {
  MemberEntry entry;
  configuration::ConfigurationStamp stamp;  // when it was heard last
  kernel::Instant suspect_since;            // meaningful if it is suspect
  kernel::Instant gone_since;               // meaningful if it is gone
};

class MemberStore {
 public:
  static constexpr std::size_t kMostMembers = 1024;
  // Members that are gone are remembered for this long, so that peers can find
  // who holds their ledgers.
  static constexpr std::chrono::minutes kGoneRetention{20};

  using ByIncarnation = std::map<std::uint64_t, Member>;

  Member* FindOrNull(model::Incarnation incarnation);
  const Member* FindOrNull(model::Incarnation incarnation) const;

  // Adds a member that is not held; returns null if there is no room, even
  // after forgetting the member that has been gone for longest.
  Member* AddOrNull(const MemberEntry& entry);

  // Forgets those that have been gone for longer than the retention time.
  // Returns them.
  std::vector<model::Incarnation> ForgetExpired(kernel::Instant now);

  const ByIncarnation& All() const { return this->members; }
  ByIncarnation& All() { return this->members; }

  // Returns the number of members that are not gone.
  std::size_t PresentCount() const;

  // Tells whether a member that is not gone has this address.
  bool IsPresentAt(const std::string& address) const;

  // Returns the entry as it is to be told to peers now.
  static MemberEntry EntryAt(kernel::Instant now, const Member& member);

 private:
  ByIncarnation members;
};

}  // namespace burdockwheel::membership
