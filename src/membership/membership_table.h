// Tracks which entry hosts are members of the fleet.
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

// Implements SWIM (Das, Gupta, Motivala 2002) with the local health of
// Lifeguard (Dadgar, Phillips, Currey 2018). In each period the host initiates
// one heartbeat: a probe, or a probe request after a direct probe failed.
// Replies to other hosts are limited too, so a host sends no more and no larger
// messages when other hosts fail. In its first seconds a host also asks its
// seeds for all members that they know, because dissemination by gossip alone
// takes longer in larger fleets. This is the push-pull of the library
// memberlist without the push: the host receives the list and sends none. Does
// no I/O and is deterministic: the same events at the same times with the same
// seed give the same actions.
class MembershipTable {
 public:
  static constexpr std::chrono::milliseconds kProbePeriod{500};
  // This host was paused if the time between two events exceeds kProbePeriod +
  // kPauseThreshold.
  static constexpr std::chrono::milliseconds kPauseThreshold{1000};
  // How long a leaving host keeps announcing that it leaves.
  static constexpr std::chrono::milliseconds kLeaveAnnouncementTime{2000};
  static constexpr int kMaxRepliesInPeriod = 4;
  // The maximum number of full member lists sent in a period; 107 hosts that
  // start together ask three seeds.
  static constexpr int kMaxMemberListsInPeriod = 48;
  // The periods after its start in which a host asks a seed for all members.
  // They start at 2 because the seeds themselves learn of the other hosts
  // within the first two periods.
  static constexpr std::array<std::uint64_t, 6> kJoinPeriods = {2, 3,  4,
                                                                6, 10, 16};
  // Limits the peers that receive a new crash hint at once; gossip spreads it
  // further.
  static constexpr std::size_t kMaxHintRecipients = 18;
  // This many crash-hint broadcasts may be sent without waiting; after each
  // interval one more is allowed, up to this maximum.
  static constexpr int kMaxHintBroadcasts = 3;
  static constexpr std::chrono::seconds kHintBroadcastInterval{6};
  // The local health of the slowest host.
  static constexpr int kMaxLocalHealth = 8;

  explicit MembershipTable(const MembershipSettings& settings);

  // Handles one event and appends the resulting actions to `actions`. `now`
  // must not decrease between events. The first event should be TimerFired,
  // which requests the first wake-up time.
  void Handle(kernel::Instant now, const Event& event, Actions& actions);

  const MemberEntry& Self() const { return this->self; }
  // Returns the other members, including those that are gone.
  const MemberStore& Members() const { return this->members; }
  // Returns a value from 0 (healthy) to kMaxLocalHealth; higher means that this
  // host is slower (the local health multiplier of Lifeguard). Timeouts are
  // multiplied by this value plus one.
  int LocalHealth() const { return this->local_health; }
  // Returns whether a peer has answered since the start or the last pause.
  bool HasContact() const { return this->has_contact; }
  // Returns whether the platform lists the host at `address` as leaving.
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

  // State of the other members.
  void Merge(kernel::Instant now, const MemberEntry& update,
             std::string_view cause, Actions& actions);
  void AddMember(kernel::Instant now, const MemberEntry& entry,
                 std::string_view cause, Actions& actions);
  void Refute(const MemberEntry& report, Actions& actions);
  void RaiseState(kernel::Instant now, Member& member, MemberState state,
                  std::string_view cause, Actions& actions);
  void ExpireSuspicions(kernel::Instant now, Actions& actions);
  void ReportChange(const Member& member, std::optional<MemberState> before,
                    std::string_view cause, Actions& actions) const;

  // Pause detection and timeouts.
  void DetectPause(kernel::Instant now, Actions& actions);
  void WorsenLocalHealth(int steps);
  kernel::Instant::duration ProbeTimeout() const;
  kernel::Instant::duration SuspicionTimeout() const;

  // Messages that this host initiates: one in a period, besides requests for
  // all members.
  void SendPeriodicMessage(kernel::Instant now, Actions& actions);
  [[nodiscard]] bool TrySendProbeRequest(kernel::Instant now, Actions& actions);
  [[nodiscard]] bool TryProbeUnknownAddress(kernel::Instant now,
                                            Actions& actions);
  void ProbeNextMember(kernel::Instant now, Actions& actions);
  void AskSeedForMembers(kernel::Instant now, Actions& actions);
  const Member* NextMemberOrNull();
  // Takes the next member of a round, which is begun anew when it is over; null
  // if there is none. Near: of the own failure domain.
  const Member* NextOfRoundOrNull(std::vector<model::Incarnation>& round,
                                  std::optional<bool> is_near);
  bool IsNear(const Member& member) const;
  // Returns the seeds that this host asks for all members.
  std::vector<std::string> SeedsToAsk() const;
  std::vector<std::string> AddressesWithoutMember() const;

  // Reply to heartbeats, process answers and broadcast crash hints.
  void RespondTo(kernel::Instant now, const Heartbeat& heartbeat,
                 Actions& actions);
  void ProcessAnswer(kernel::Instant now, const Heartbeat& heartbeat,
                     Actions& actions);
  void BroadcastHint(kernel::Instant now, const CrashHint& hint,
                     Actions& actions);
  [[nodiscard]] bool TryConsumeHintBroadcast(kernel::Instant now);
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
  int hint_broadcasts_left = kMaxHintBroadcasts;
  kernel::Instant hint_broadcasts_refilled_at;
  int local_health = 0;
  bool has_contact = false;
  std::uint32_t last_probe_number = 0;
  // Probes with lower numbers were sent before the last pause; answers to them
  // are ignored.
  std::uint32_t first_probe_after_pause = 1;
  std::optional<PendingProbe> pending;
  std::vector<model::Incarnation> remaining_in_round;
  // The same for members of other failure domains, where these are probed more
  // seldom.
  std::vector<model::Incarnation> remaining_in_far_round;
  std::uint64_t last_gossiped_incarnation = 0;
};

}  // namespace burdockwheel::membership
