// Stores what a host knows of the members of the fleet, up to a size limit.
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
  configuration::ConfigurationStamp stamp;  // in its last heartbeat
  // Start of the suspicion timeout; used only if it is suspect.
  kernel::Instant suspect_since;
  kernel::Instant gone_since;  // used only if it is gone
};

class MemberStore {
 public:
  static constexpr std::size_t kMaxMembers = 1024;
  // Limits how long members that are gone are kept, so that peers can find who
  // holds their ledgers.
  static constexpr std::chrono::minutes kGoneRetention{20};

  using MembersByIncarnation = std::map<std::uint64_t, Member>;

  Member* FindOrNull(model::Incarnation incarnation);
  const Member* FindOrNull(model::Incarnation incarnation) const;

  // Adds a member that is not stored yet. A full store first evicts the member
  // that has been gone for longest; returns null if none is gone.
  Member* AddOrNull(const MemberEntry& entry);

  // Removes the members that have been gone for longer than kGoneRetention and
  // returns their incarnations.
  std::vector<model::Incarnation> ForgetExpired(kernel::Instant now);

  const MembersByIncarnation& All() const { return this->members; }
  MembersByIncarnation& All() { return this->members; }

  // Returns the number of members that are not gone.
  std::size_t PresentCount() const;

  // Returns whether a member that is not gone has this address.
  bool IsPresentAt(const std::string& address) const;

  // Returns the entry to send to peers, with its `gone_age` as of `now`.
  static MemberEntry EntryAt(kernel::Instant now, const Member& member);

 private:
  MembersByIncarnation members;
};

}  // namespace burdockwheel::membership
