#include "membership/membership_table.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace burdockwheel::membership {

namespace {

constexpr int kPauseHealthPenalty = 4;
constexpr int kSuspicionPeriodsPerDoubling = 2;  // of the number of members

}  // namespace

MembershipTable::MembershipTable(const MembershipSettings& settings)
    : settings(settings), random(settings.random_seed) {
  this->self.host = settings.host;
  this->self.incarnation = settings.incarnation;
  this->self.address = settings.address;
  this->self.failure_domain = settings.failure_domain;
}

void MembershipTable::Handle(kernel::Instant now, const Event& event,
                             Actions& actions) {
  this->DetectPause(now, actions);
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->HandleEvent(now, concrete, actions);
      },
      event);
}

void MembershipTable::HandleEvent(kernel::Instant now,
                                  const TimerFired& /*event*/,
                                  Actions& actions) {
  if (now >= this->next_period) {
    this->replies_in_period = 0;
    this->member_lists_in_period = 0;
    ++this->period_count;
    this->ExpireSuspicions(now, actions);
    for (const auto incarnation : this->members.ForgetExpired(now))
      this->gossip.Forget(incarnation);
    this->SendPeriodicMessage(now, actions);
    this->AskSeedForMembers(now, actions);
    this->next_period += kProbePeriod;
    if (this->next_period <= now) this->next_period = now + kProbePeriod;
  }
  actions.emplace_back(WakeAt{this->next_period});
}

void MembershipTable::HandleEvent(kernel::Instant now,
                                  const HeartbeatArrived& event,
                                  Actions& actions) {
  const Heartbeat& heartbeat = event.heartbeat;
  const MemberEntry& sender = heartbeat.sender;
  if (sender.incarnation == this->self.incarnation) return;
  this->Merge(now, sender, "heard", actions);
  if (Member* member = this->members.FindOrNull(sender.incarnation)) {
    member->stamp = heartbeat.stamp;
    actions.emplace_back(StampReceived{sender.host, sender.incarnation,
                                       sender.address, heartbeat.stamp});
  }
  for (const auto& entry : heartbeat.entries)
    this->Merge(now, entry, "told", actions);
  for (const auto& hint : heartbeat.hints) {
    if (this->gossip.TryAddHint(now, hint))
      actions.emplace_back(CrashHintReceived{hint});
  }
  this->RespondTo(now, heartbeat, actions);
}

void MembershipTable::HandleEvent(kernel::Instant /*now*/,
                                  const HostsListed& event,
                                  Actions& /*actions*/) {
  this->listed_addresses.clear();
  this->leaving_addresses.clear();
  for (const auto& host : event.hosts) {
    if (this->listed_addresses.size() == MemberStore::kMaxMembers) return;
    this->listed_addresses.push_back(host.address);
    if (host.is_leaving) this->leaving_addresses.insert(host.address);
  }
}

void MembershipTable::HandleEvent(kernel::Instant /*now*/,
                                  const SeedsChanged& event,
                                  Actions& /*actions*/) {
  this->settings.seed_addresses = event.addresses;
}

void MembershipTable::HandleEvent(kernel::Instant /*now*/,
                                  const StampChanged& event,
                                  Actions& /*actions*/) {
  this->stamp = event.stamp;
}

void MembershipTable::HandleEvent(kernel::Instant now,
                                  const CrashHintRaised& event,
                                  Actions& actions) {
  if (!this->gossip.TryAddHint(now, event.hint)) return;
  this->BroadcastHint(now, event.hint, actions);
}

void MembershipTable::HandleEvent(kernel::Instant /*now*/,
                                  const LeaveBegun& /*event*/,
                                  Actions& actions) {
  if (this->self.state != MemberState::kAlive) return;
  this->self.state = MemberState::kLeaving;
  ++this->self.revision;
  actions.emplace_back(RecordChange{"member " + this->self.host.value, "alive",
                                    "leaving", "planned-stop", "self"});
}

void MembershipTable::HandleEvent(kernel::Instant /*now*/,
                                  const LeaveEnded& event, Actions& actions) {
  if (this->self.state == MemberState::kGone) return;
  const auto before = this->self.state;
  this->self.state = MemberState::kGone;
  ++this->self.revision;
  this->self.ledger_holders = event.ledger_holders;
  if (this->self.ledger_holders.size() > kMaxLedgerHolders)
    this->self.ledger_holders.resize(kMaxLedgerHolders);
  actions.emplace_back(RecordChange{"member " + this->self.host.value,
                                    std::string(MemberStateName(before)),
                                    "gone", "planned-stop", "self"});
}

bool MembershipTable::IsListedAsLeaving(const std::string& address) const {
  return this->leaving_addresses.contains(address);
}

void MembershipTable::Merge(kernel::Instant now, const MemberEntry& update,
                            std::string_view cause, Actions& actions) {
  if (update.incarnation == this->self.incarnation) {
    this->Refute(update, actions);
    return;
  }
  Member* member = this->members.FindOrNull(update.incarnation);
  if (member == nullptr) {
    this->AddMember(now, update, cause, actions);
    return;
  }
  if (!IsNewer(update, member->entry)) return;
  const auto before = member->entry.state;
  const bool is_changed =
      update.state != before || update.address != member->entry.address;
  member->entry = update;
  member->suspect_since = now;
  if (before != MemberState::kGone) member->gone_since = now - update.gone_age;
  this->gossip.AddChange(update.incarnation);
  if (is_changed) this->ReportChange(*member, before, cause, actions);
}

void MembershipTable::AddMember(kernel::Instant now, const MemberEntry& entry,
                                std::string_view cause, Actions& actions) {
  // The entry carries its age, so that peers do not keep a gone member for ever
  // by gossiping it to one another.
  const bool is_expired = entry.state == MemberState::kGone &&
                          entry.gone_age >= MemberStore::kGoneRetention;
  if (is_expired) return;
  Member* member = this->members.AddOrNull(entry);
  if (member == nullptr) return;
  member->suspect_since = now;
  member->gone_since = now - entry.gone_age;
  this->gossip.AddChange(entry.incarnation);
  this->ReportChange(*member, std::nullopt, cause, actions);
}

void MembershipTable::Refute(const MemberEntry& report, Actions& actions) {
  if (!this->settings.protections.has_refutation) return;
  if (this->self.state == MemberState::kGone) return;
  const bool is_suspect_or_gone = report.state == MemberState::kSuspect ||
                                  report.state == MemberState::kGone;
  if (!is_suspect_or_gone || report.revision < this->self.revision) return;
  this->self.revision = report.revision + 1;
  // Being suspected indicates that this host itself may be slow (Lifeguard).
  this->WorsenLocalHealth(1);
  actions.emplace_back(
      RecordChange{"member " + this->self.host.value,
                   std::string(MemberStateName(report.state)),
                   std::string(MemberStateName(this->self.state)), "refuted",
                   "revision=" + std::to_string(this->self.revision)});
}

void MembershipTable::RaiseState(kernel::Instant now, Member& member,
                                 MemberState state, std::string_view cause,
                                 Actions& actions) {
  if (member.entry.state >= state) return;
  const auto before = member.entry.state;
  member.entry.state = state;
  member.suspect_since = now;
  if (state == MemberState::kGone) member.gone_since = now;
  this->gossip.AddChange(member.entry.incarnation);
  this->ReportChange(member, before, cause, actions);
}

void MembershipTable::ExpireSuspicions(kernel::Instant now, Actions& actions) {
  for (auto& [incarnation, member] : this->members.All()) {
    if (member.entry.state != MemberState::kSuspect) continue;
    // Uses the current local health: if it got worse since the suspicion began,
    // this host should wait longer.
    if (now - member.suspect_since < this->SuspicionTimeout()) continue;
    this->RaiseState(now, member, MemberState::kGone, "silent", actions);
  }
}

void MembershipTable::ReportChange(const Member& member,
                                   std::optional<MemberState> before,
                                   std::string_view cause,
                                   Actions& actions) const {
  actions.emplace_back(MemberChanged{member.entry, before});
  actions.emplace_back(RecordChange{
      "member " + member.entry.host.value,
      before ? std::string(MemberStateName(*before)) : "unknown",
      std::string(MemberStateName(member.entry.state)), std::string(cause),
      "incarnation=" + std::to_string(member.entry.incarnation.value) +
          " revision=" + std::to_string(member.entry.revision) +
          " local_health=" + std::to_string(this->local_health)});
}

void MembershipTable::DetectPause(kernel::Instant now, Actions& actions) {
  const auto before = std::exchange(this->last_event, now);
  if (!before || !this->settings.protections.has_pause_detection) return;
  const auto gap = now - *before;
  if (gap <= kProbePeriod + kPauseThreshold) return;
  this->WorsenLocalHealth(kPauseHealthPenalty);
  // This host could not process answers during the pause, so a missing answer
  // is no evidence of a failure.
  this->pending.reset();
  this->has_contact = false;
  this->first_probe_after_pause = this->last_probe_number + 1;
  for (auto& [incarnation, member] : this->members.All())
    member.suspect_since = now;
  const auto length =
      std::chrono::duration_cast<std::chrono::milliseconds>(gap);
  actions.emplace_back(PauseDetected{length});
  actions.emplace_back(RecordChange{"host " + this->self.host.value, "running",
                                    "paused", "clock-gap",
                                    "ms=" + std::to_string(length.count())});
}

void MembershipTable::WorsenLocalHealth(int steps) {
  if (!this->settings.protections.has_local_health) return;
  this->local_health = std::min(this->local_health + steps, kMaxLocalHealth);
}

kernel::Instant::duration MembershipTable::ProbeTimeout() const {
  return kProbePeriod * (1 + this->local_health);
}

kernel::Instant::duration MembershipTable::SuspicionTimeout() const {
  const auto doublings =
      static_cast<int>(std::bit_width(this->members.PresentCount() + 1));
  return kProbePeriod * kSuspicionPeriodsPerDoubling * doublings *
         (1 + this->local_health);
}

}  // namespace burdockwheel::membership
