// Decides which entry hosts are there.
#pragma once

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "kernel/instant.h"
#include "membership/actions.h"
#include "membership/events.h"
#include "membership/gossip_queue.h"
#include "membership/heartbeat.h"
#include "membership/member_store.h"
#include "membership/membership_settings.h"

namespace burdockwheel::membership {

// SWIM (Das, Gupta, Motivala 2002) with the local health of Lifeguard (Dadgar,
// Phillips, Currey 2018). In each period one heartbeat goes out on this host's
// own account: a probe, or a request to probe where one failed; the answers to
// others are limited too. So neither the number nor the size of the messages
// rises when hosts fail. In its first seconds a host also asks its seeds for
// all members that they know, as gossip alone takes the longer the larger the
// fleet is (the push-pull of memberlist, without the push). Pure: the same
// events at the same times with the same seed give the same actions.
class MembershipTable {
 public:
  static constexpr std::chrono::milliseconds kProbePeriod{500};
  // A host that did not run for this much longer than a period was paused.
  static constexpr std::chrono::milliseconds kPauseThreshold{1000};
  // How long a host that leaves goes on telling of it.
  static constexpr std::chrono::milliseconds kLeaveAnnouncementTime{2000};
  static constexpr int kMostRepliesInPeriod = 4;
  // Lists of all members that are sent in a period; 107 hosts that start
  // together ask three seeds.
  static constexpr int kMostMemberListsInPeriod = 48;
  // The periods of its life in which a host asks a seed for all members: the
  // seeds themselves learn of the others within the first two.
  static constexpr std::array<std::uint64_t, 6> kJoinPeriods = {2, 3,  4,
                                                                6, 10, 16};
  // A new word of a crash goes to this many peers at once, and on by gossip.
  static constexpr std::size_t kMostHintRecipients = 18;
  // How often that may be done in a row, and how soon once more.
  static constexpr int kMostHintBursts = 3;
  static constexpr std::chrono::seconds kHintBurstInterval{6};
  static constexpr int kMostLocalHealth = 8;  // the worst

  explicit MembershipTable(const MembershipSettings& settings);

  // Takes one event and appends what is to be done to `actions`. `now` never
  // falls from one event to the next. The first event should be TimerFired.
  void Handle(kernel::Instant now, const Event& event, Actions& actions);

  const MemberEntry& Self() const { return this->self; }
  // The other members, those that are gone included.
  const MemberStore& Members() const { return this->members; }
  // From 0 to kMostLocalHealth; times out slower by this factor plus one.
  int LocalHealth() const { return this->local_health; }
  // Tells whether a peer has answered since the start or the last pause.
  bool HasContact() const { return this->has_contact; }
  // Tells whether the platform's list shows the host there as leaving.
  bool IsListedAsLeaving(const std::string& address) const;

 private:
  struct PendingProbe {
    model::Incarnation target;
    std::string address;
    std::uint32_t number = 0;
    bool is_indirect = false;
    kernel::Instant deadline;
  };

  void HandleEvent(kernel::Instant now, const TimerFired& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const HeartbeatArrived& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const HostsListed& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const SeedsChanged& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const StampChanged& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const CrashHintRaised& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const LeaveBegun& event,
                   Actions& actions);
  void HandleEvent(kernel::Instant now, const LeaveEnded& event,
                   Actions& actions);

  // Membership of others.
  void Merge(kernel::Instant now, const MemberEntry& update,
             std::string_view cause, Actions& actions);
  void AddMember(kernel::Instant now, const MemberEntry& entry,
                 std::string_view cause, Actions& actions);
  void Refute(const MemberEntry& claim, Actions& actions);
  void SetState(kernel::Instant now, Member& member, MemberState state,
                std::string_view cause, Actions& actions);
  void ExpireSuspicions(kernel::Instant now, Actions& actions);
  void ReportChange(const Member& member, std::optional<MemberState> before,
                    std::string_view cause, Actions& actions) const;

  // Time.
  void DetectPause(kernel::Instant now, Actions& actions);
  void WorsenLocalHealth(int steps);
  kernel::Instant::duration ProbeTimeout() const;
  kernel::Instant::duration SuspicionTimeout() const;

  // Messages of this host's own account: one in a period.
  void SendPeriodicMessage(kernel::Instant now, Actions& actions);
  [[nodiscard]] bool TrySendProbeRequest(kernel::Instant now, Actions& actions);
  [[nodiscard]] bool TrySendToCandidate(kernel::Instant now, Actions& actions);
  void ProbeNextMember(kernel::Instant now, Actions& actions);
  void AskSeedForMembers(kernel::Instant now, Actions& actions);
  const Member* NextMemberOrNull();
  std::vector<std::string> CandidateAddresses() const;

  // Answers.
  void Answer(kernel::Instant now, const Heartbeat& heartbeat,
              Actions& actions);
  void ProcessAnswer(kernel::Instant now, const Heartbeat& heartbeat,
                     Actions& actions);
  void BroadcastHint(kernel::Instant now, const CrashHint& hint,
                     Actions& actions);
  [[nodiscard]] bool TryConsumeHintBurst(kernel::Instant now);
  void Reply(kernel::Instant now, const std::string& address,
             Heartbeat heartbeat, Actions& actions);
  void SendMembers(kernel::Instant now, const std::string& address,
                   Actions& actions);

  void Send(kernel::Instant now, const std::string& address,
            Heartbeat heartbeat, Actions& actions);
  void PiggybackGossip(kernel::Instant now, Heartbeat& heartbeat);

  MembershipSettings settings;
  std::mt19937_64 random;
  MemberEntry self;
  configuration::ConfigurationStamp stamp;
  MemberStore members;
  GossipQueue gossip;
  std::vector<std::string> listed_addresses;
  std::set<std::string> leaving_addresses;

  std::optional<kernel::Instant> last_event;
  kernel::Instant next_period;
  std::uint64_t period_count = 0;
  int replies_in_period = 0;
  int member_lists_in_period = 0;
  int hint_bursts_left = kMostHintBursts;
  kernel::Instant hint_burst_refilled_at;
  int local_health = 0;
  bool has_contact = false;
  std::uint32_t last_probe_number = 0;
  std::uint32_t first_trusted_probe = 1;  // none sent before a pause counts
  std::optional<PendingProbe> pending;
  std::vector<model::Incarnation> probe_order;
  std::uint64_t round_robin_cursor = 0;
};

}  // namespace burdockwheel::membership
