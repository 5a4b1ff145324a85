#include "membership/member_store.h"

#include <algorithm>

namespace burdockwheel::membership {

Member* MemberStore::FindOrNull(model::Incarnation incarnation) {
  const auto found = this->members.find(incarnation.value);
  return found == this->members.end() ? nullptr : &found->second;
}

const Member* MemberStore::FindOrNull(model::Incarnation incarnation) const {
  const auto found = this->members.find(incarnation.value);
  return found == this->members.end() ? nullptr : &found->second;
}

Member* MemberStore::AddOrNull(const MemberEntry& entry) {
  if (this->members.size() >= kMaxMembers) {
    auto oldest = this->members.end();
    for (auto it = this->members.begin(); it != this->members.end(); ++it) {
      if (it->second.entry.state != MemberState::kGone) continue;
      if (oldest == this->members.end() ||
          it->second.gone_since < oldest->second.gone_since)
        oldest = it;
    }
    if (oldest == this->members.end()) return nullptr;
    this->members.erase(oldest);
  }
  Member& member = this->members[entry.incarnation.value];
  member.entry = entry;
  return &member;
}

std::vector<model::Incarnation> MemberStore::ForgetExpired(
    kernel::Instant now) {
  std::vector<model::Incarnation> expired;
  for (const auto& [incarnation, member] : this->members) {
    if (member.entry.state != MemberState::kGone) continue;
    if (now - member.gone_since <= kGoneRetention) continue;
    expired.push_back({incarnation});
  }
  for (const auto incarnation : expired) this->members.erase(incarnation.value);
  return expired;
}

std::size_t MemberStore::PresentCount() const {
  return static_cast<std::size_t>(
      std::ranges::count_if(this->members, [](const auto& item) {
        return item.second.entry.state != MemberState::kGone;
      }));
}

bool MemberStore::IsPresentAt(const std::string& address) const {
  return std::ranges::any_of(this->members, [&address](const auto& item) {
    return item.second.entry.state != MemberState::kGone &&
           item.second.entry.address == address;
  });
}

MemberEntry MemberStore::EntryAt(kernel::Instant now, const Member& member) {
  MemberEntry entry = member.entry;
  if (entry.state == MemberState::kGone) {
    entry.gone_age = std::chrono::duration_cast<std::chrono::seconds>(
        now - member.gone_since);
  }
  return entry;
}

}  // namespace burdockwheel::membership
