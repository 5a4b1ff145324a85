// Implements the messages of MembershipTable.
#include <algorithm>
#include <utility>

#include "membership/membership_table.h"

namespace burdockwheel::membership {

namespace {

// Of this many periods, the host uses one to probe an address at which it knows
// no present member, so that hosts discover one another after a start or a
// partition.
constexpr std::uint64_t kPeriodsPerUnknownAddressProbe = 4;
constexpr std::size_t kMaxHintsInHeartbeat = 2;

}  // namespace

void MembershipTable::SendPeriodicMessage(kernel::Instant now,
                                          Actions& actions) {
  if (this->pending && now >= this->pending->deadline) {
    if (!this->pending->is_indirect && this->TrySendProbeRequest(now, actions))
      return;
    this->WorsenLocalHealth(1);
    if (Member* target = this->members.FindOrNull(this->pending->target))
      this->RaiseState(now, *target, MemberState::kSuspect, "probe-failed",
                       actions);
    this->pending.reset();
  }
  const bool probes_unknown_address =
      this->members.PresentCount() == 0 ||
      this->period_count % kPeriodsPerUnknownAddressProbe == 0;
  if (probes_unknown_address && this->TryProbeUnknownAddress(now, actions))
    return;
  this->ProbeNextMember(now, actions);
}

bool MembershipTable::TrySendProbeRequest(kernel::Instant now,
                                          Actions& actions) {
  std::vector<const Member*> helpers;
  for (const auto& [incarnation, member] : this->members.All()) {
    if (member.entry.state != MemberState::kAlive) continue;
    if (member.entry.incarnation == this->pending->target) continue;
    helpers.push_back(&member);
  }
  if (helpers.empty()) return false;
  const std::size_t choice = this->random() % helpers.size();
  this->pending->is_indirect = true;
  this->pending->deadline = now + this->ProbeTimeout();
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kProbeRequest;
  heartbeat.probe = this->pending->number;
  heartbeat.target = this->pending->target;
  heartbeat.target_address = this->pending->address;
  this->Send(now, helpers[choice]->entry.address, std::move(heartbeat),
             actions);
  return true;
}

std::vector<std::string> MembershipTable::AddressesWithoutMember() const {
  std::set<std::string> addresses(this->settings.seed_addresses.begin(),
                                  this->settings.seed_addresses.end());
  addresses.insert(this->listed_addresses.begin(),
                   this->listed_addresses.end());
  for (const auto& [incarnation, member] : this->members.All()) {
    if (member.entry.state == MemberState::kGone)
      addresses.insert(member.entry.address);
  }
  addresses.erase(this->self.address);
  for (const auto& [incarnation, member] : this->members.All()) {
    if (member.entry.state != MemberState::kGone)
      addresses.erase(member.entry.address);
  }
  return {addresses.begin(), addresses.end()};
}

bool MembershipTable::TryProbeUnknownAddress(kernel::Instant now,
                                             Actions& actions) {
  const auto addresses = this->AddressesWithoutMember();
  if (addresses.empty()) return false;
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kProbe;
  heartbeat.probe = ++this->last_probe_number;
  this->Send(now, addresses[this->random() % addresses.size()],
             std::move(heartbeat), actions);
  return true;
}

const Member* MembershipTable::NextMemberOrNull() {
  if (!this->settings.cross_domain_share)
    return this->NextOfRoundOrNull(this->remaining_in_round, std::nullopt);
  // A host that fails is noticed by its own failure domain; the others hear of
  // it by the few heartbeats that cross.
  const bool is_far = std::uniform_real_distribution<>(0, 1)(this->random) <
                      *this->settings.cross_domain_share;
  const Member* far =
      is_far ? this->NextOfRoundOrNull(this->remaining_in_far_round, false)
             : nullptr;
  if (far != nullptr) return far;
  const Member* near = this->NextOfRoundOrNull(this->remaining_in_round, true);
  if (near != nullptr) return near;
  return this->NextOfRoundOrNull(this->remaining_in_far_round, false);
}

const Member* MembershipTable::NextOfRoundOrNull(
    std::vector<model::Incarnation>& round, std::optional<bool> is_near) {
  // Round-robin in an order that is shuffled for each round (SWIM, section
  // 4.3).
  for (int attempt = 0; attempt < 2; ++attempt) {
    while (!round.empty()) {
      const auto incarnation = round.back();
      round.pop_back();
      const Member* member = this->members.FindOrNull(incarnation);
      if (member != nullptr && member->entry.state != MemberState::kGone)
        return member;
    }
    for (const auto& [incarnation, member] : this->members.All()) {
      if (member.entry.state == MemberState::kGone) continue;
      if (is_near && *is_near != this->IsNear(member)) continue;
      round.push_back(member.entry.incarnation);
    }
    std::shuffle(round.begin(), round.end(), this->random);
  }
  return nullptr;
}

bool MembershipTable::IsNear(const Member& member) const {
  return member.entry.failure_domain == this->settings.failure_domain;
}

void MembershipTable::ProbeNextMember(kernel::Instant now, Actions& actions) {
  const Member* member = this->NextMemberOrNull();
  if (member == nullptr) return;
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kProbe;
  heartbeat.probe = ++this->last_probe_number;
  heartbeat.target = member->entry.incarnation;
  // While an earlier probe is pending, this one only disseminates changes.
  if (!this->pending) {
    this->pending =
        PendingProbe{member->entry.incarnation, member->entry.address,
                     heartbeat.probe, false, now + this->ProbeTimeout()};
  }
  this->Send(now, member->entry.address, std::move(heartbeat), actions);
}

void MembershipTable::AskSeedForMembers(kernel::Instant now, Actions& actions) {
  if (std::ranges::count(kJoinPeriods, this->period_count) == 0) return;
  const auto seeds = this->SeedsToAsk();
  if (seeds.empty()) return;
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kMembersRequest;
  this->Send(now, seeds[this->random() % seeds.size()], std::move(heartbeat),
             actions);
}

// The lists are the largest messages of the membership. Where they should not
// cross, the seeds ask one another, and every other host a seed of its own
// domain as soon as it knows one.
std::vector<std::string> MembershipTable::SeedsToAsk() const {
  auto seeds = this->settings.seed_addresses;
  const bool is_seed = std::erase(seeds, this->self.address) > 0;
  if (!this->settings.cross_domain_share || is_seed) return seeds;
  std::vector<std::string> near;
  for (const auto& [incarnation, member] : this->members.All()) {
    const bool is_usable =
        member.entry.state == MemberState::kAlive && this->IsNear(member);
    if (is_usable && std::ranges::count(seeds, member.entry.address) > 0)
      near.push_back(member.entry.address);
  }
  return near.empty() ? seeds : near;
}

void MembershipTable::SendMembers(kernel::Instant now,
                                  const std::string& address,
                                  Actions& actions) {
  if (this->member_lists_in_period >= kMaxMemberListsInPeriod) return;
  ++this->member_lists_in_period;
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kMembers;
  heartbeat.sender = this->self;
  heartbeat.stamp = this->stamp;
  for (const auto& [incarnation, member] : this->members.All())
    heartbeat.entries.push_back(MemberStore::EntryAt(now, member));
  actions.emplace_back(SendHeartbeat{address, EncodeHeartbeat(heartbeat)});
}

void MembershipTable::RespondTo(kernel::Instant now, const Heartbeat& heartbeat,
                                Actions& actions) {
  Heartbeat reply;
  reply.probe = heartbeat.probe;
  reply.target = heartbeat.target;
  switch (heartbeat.kind) {
    case HeartbeatKind::kProbe:
      reply.kind = HeartbeatKind::kAnswer;
      this->Reply(now, heartbeat.sender.address, std::move(reply), actions);
      return;
    case HeartbeatKind::kProbeRequest:
      reply.kind = HeartbeatKind::kRelayedProbe;
      reply.requester_address = heartbeat.sender.address;
      this->Reply(now, heartbeat.target_address, std::move(reply), actions);
      return;
    case HeartbeatKind::kRelayedProbe:
      // Only the targeted incarnation may answer, so that another process at
      // the same address does not confirm that the target is alive.
      if (heartbeat.target != this->self.incarnation) return;
      reply.kind = HeartbeatKind::kRelayedAnswer;
      reply.requester_address = heartbeat.requester_address;
      this->Reply(now, heartbeat.sender.address, std::move(reply), actions);
      return;
    case HeartbeatKind::kRelayedAnswer:
      reply.kind = HeartbeatKind::kForwardedAnswer;
      this->Reply(now, heartbeat.requester_address, std::move(reply), actions);
      return;
    case HeartbeatKind::kMembersRequest:
      this->SendMembers(now, heartbeat.sender.address, actions);
      return;
    case HeartbeatKind::kMembers:
      return;
    case HeartbeatKind::kAnswer:
    case HeartbeatKind::kForwardedAnswer:
      this->ProcessAnswer(now, heartbeat, actions);
      return;
  }
}

void MembershipTable::ProcessAnswer(kernel::Instant now,
                                    const Heartbeat& heartbeat,
                                    Actions& actions) {
  const bool is_recent = heartbeat.probe >= this->first_probe_after_pause &&
                         heartbeat.probe <= this->last_probe_number;
  if (!is_recent) return;
  if (!this->has_contact) {
    this->has_contact = true;
    actions.emplace_back(ContactEstablished{});
  }
  if (!this->pending || this->pending->number != heartbeat.probe) return;
  const PendingProbe probe = *this->pending;
  const bool is_direct = heartbeat.kind == HeartbeatKind::kAnswer;
  const auto& confirmed_incarnation =
      is_direct ? heartbeat.sender.incarnation : heartbeat.target;
  // A port belongs to one process: if another process answers there, the
  // probed member has ended.
  const bool is_replaced = is_direct && confirmed_incarnation != probe.target &&
                           heartbeat.sender.address == probe.address;
  if (confirmed_incarnation != probe.target && !is_replaced) return;
  this->pending.reset();
  this->local_health = std::max(this->local_health - 1, 0);
  if (!is_replaced) return;
  if (Member* member = this->members.FindOrNull(probe.target))
    this->RaiseState(now, *member, MemberState::kGone, "replaced", actions);
}

// A call that crashes workers may be retried within milliseconds, before the
// next heartbeat, so the hint is broadcast at once. The number of broadcasts is
// limited, so that workers that keep crashing for another reason do not cause a
// broadcast each time.
void MembershipTable::BroadcastHint(kernel::Instant now, const CrashHint& hint,
                                    Actions& actions) {
  if (!this->TryConsumeHintBroadcast(now)) return;
  std::vector<std::string> addresses;
  for (const auto& [incarnation, member] : this->members.All()) {
    if (member.entry.state == MemberState::kGone) continue;
    addresses.push_back(member.entry.address);
  }
  std::shuffle(addresses.begin(), addresses.end(), this->random);
  if (addresses.size() > kMaxHintRecipients)
    addresses.resize(kMaxHintRecipients);
  Heartbeat heartbeat;
  // The probe number stays zero, which no probe has, so that no peer takes this
  // for the answer to a probe.
  heartbeat.kind = HeartbeatKind::kAnswer;
  heartbeat.sender = this->self;
  heartbeat.stamp = this->stamp;
  heartbeat.hints = {hint};
  const auto body = EncodeHeartbeat(heartbeat);
  if (body.size() > kMaxHeartbeatBytes) return;
  for (const auto& address : addresses) {
    actions.emplace_back(SendHeartbeat{address, body});
  }
}

bool MembershipTable::TryConsumeHintBroadcast(kernel::Instant now) {
  while (this->hint_broadcasts_left < kMaxHintBroadcasts &&
         now - this->hint_broadcasts_refilled_at >= kHintBroadcastInterval) {
    this->hint_broadcasts_left += 1;
    this->hint_broadcasts_refilled_at += kHintBroadcastInterval;
  }
  if (this->hint_broadcasts_left == 0) return false;
  if (this->hint_broadcasts_left == kMaxHintBroadcasts) {
    this->hint_broadcasts_refilled_at = now;
  }
  this->hint_broadcasts_left -= 1;
  return true;
}

void MembershipTable::Reply(kernel::Instant now, const std::string& address,
                            Heartbeat heartbeat, Actions& actions) {
  if (address.empty()) return;
  const bool is_limited = this->settings.protections.has_reply_limit;
  if (is_limited && this->replies_in_period >= kMaxRepliesInPeriod) return;
  ++this->replies_in_period;
  this->Send(now, address, std::move(heartbeat), actions);
}

void MembershipTable::Send(kernel::Instant now, const std::string& address,
                           Heartbeat heartbeat, Actions& actions) {
  heartbeat.sender = this->self;
  heartbeat.stamp = this->stamp;
  // Tells a suspected receiver of the suspicion first, so that it can refute it
  // (the buddy system of Lifeguard).
  for (const auto& [incarnation, member] : this->members.All()) {
    if (member.entry.address != address) continue;
    if (member.entry.state < MemberState::kSuspect) continue;
    heartbeat.entries.push_back(MemberStore::EntryAt(now, member));
    break;
  }
  this->PiggybackGossip(now, heartbeat);
  actions.emplace_back(SendHeartbeat{address, EncodeHeartbeat(heartbeat)});
}

void MembershipTable::PiggybackGossip(kernel::Instant now,
                                      Heartbeat& heartbeat) {
  std::size_t size = EncodeHeartbeat(heartbeat).size();
  if (size > kMaxHeartbeatBytes) {
    // The names are so long that no entry of another member fits; sends none.
    heartbeat.entries.clear();
    return;
  }
  const auto try_reserve = [&size](std::size_t bytes) {
    if (size + bytes > kPiggybackLimitBytes) return false;
    size += bytes;
    return true;
  };
  for (auto& hint : this->gossip.RemoveExpiredAndListHints(now)) {
    if (heartbeat.hints.size() == kMaxHintsInHeartbeat) break;
    if (!try_reserve(EncodedSize(hint))) break;
    this->gossip.RecordHintSent(hint);
    heartbeat.hints.push_back(std::move(hint));
  }
  const auto try_add = [&](const Member& member) {
    const auto& incarnation = member.entry.incarnation;
    const bool is_included = std::ranges::any_of(
        heartbeat.entries, [&incarnation](const auto& entry) {
          return entry.incarnation == incarnation;
        });
    if (is_included) return true;
    auto entry = MemberStore::EntryAt(now, member);
    if (!try_reserve(EncodedSize(entry))) return false;
    heartbeat.entries.push_back(std::move(entry));
    return true;
  };
  const std::size_t member_count = this->members.PresentCount() + 1;
  for (const auto incarnation : this->gossip.ChangesBySendCount()) {
    const Member* member = this->members.FindOrNull(incarnation);
    if (member == nullptr) {
      this->gossip.Forget(incarnation);
      continue;
    }
    if (!try_add(*member)) return;
    this->gossip.RecordChangeSent(incarnation, member_count);
  }
  const auto& all = this->members.All();
  for (std::size_t step = 0; step < all.size(); ++step) {
    auto next = all.upper_bound(this->last_gossiped_incarnation);
    if (next == all.end()) next = all.begin();
    if (!try_add(next->second)) return;
    this->last_gossiped_incarnation = next->first;
  }
}

}  // namespace burdockwheel::membership
