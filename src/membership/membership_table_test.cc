#include "membership/membership_table.h"

#include <boost/test/unit_test.hpp>
#include <chrono>
#include <string>
#include <vector>

namespace burdockwheel::membership {

namespace {

using std::chrono::milliseconds;
using std::chrono::minutes;
using std::chrono::seconds;

const kernel::Instant kStart{std::chrono::hours(1)};

std::string AddressOf(std::uint64_t index) {
  return "10.0.0." + std::to_string(index) + ":7000";
}

MemberEntry Entry(std::uint64_t index) {
  MemberEntry entry;
  entry.host = {"entry-" + std::to_string(index)};
  entry.incarnation = {index};
  entry.address = AddressOf(index);
  entry.failure_domain = {"bergen-a"};
  return entry;
}

// Holds a table under test and its clock, and simulates the peers' answers.
class TableFixture {
 public:
  explicit TableFixture(const MembershipProtections& protections = {})
      : table(Settings(protections)) {}

  static MembershipSettings Settings(const MembershipProtections& protections) {
    MembershipSettings settings;
    settings.host = {"entry-1"};
    settings.incarnation = {1};
    settings.address = AddressOf(1);
    settings.failure_domain = {"bergen-a"};
    settings.random_seed = 5;
    settings.protections = protections;
    return settings;
  }

  Actions Handle(const Event& event) {
    Actions actions;
    this->table.Handle(this->now, event, actions);
    return actions;
  }

  // Delivers a heartbeat from `sender` that carries `entries`.
  Actions ReceiveHeartbeat(const MemberEntry& sender,
                           std::vector<MemberEntry> entries = {},
                           HeartbeatKind kind = HeartbeatKind::kAnswer) {
    Heartbeat heartbeat;
    heartbeat.kind = kind;
    heartbeat.sender = sender;
    heartbeat.entries = std::move(entries);
    return this->Handle(HeartbeatArrived{heartbeat});
  }

  // Runs for `time`. Members whose index is in `answering` answer direct
  // and indirect probes. Returns all actions.
  Actions Run(milliseconds time, const std::vector<std::uint64_t>& answering) {
    Actions all;
    const auto end = this->now + time;
    while (this->now < end) {
      const auto actions = this->Handle(TimerFired{});
      for (const auto& action : actions) {
        if (const auto* send = std::get_if<SendHeartbeat>(&action))
          this->AnswerProbe(*send, answering, all);
      }
      all.insert(all.end(), actions.begin(), actions.end());
      this->now += MembershipTable::kProbePeriod;
    }
    return all;
  }

  MemberState StateOf(std::uint64_t index) const {
    const Member* member = this->table.Members().FindOrNull({index});
    BOOST_REQUIRE(member != nullptr);
    return member->entry.state;
  }

  MembershipTable table;
  kernel::Instant now = kStart;

 private:
  void AnswerProbe(const SendHeartbeat& send,
                   const std::vector<std::uint64_t>& answering, Actions& all) {
    const auto decoded = DecodeHeartbeat(send.body);
    BOOST_REQUIRE(decoded.HasValue());
    const auto& probe = decoded.Value();
    for (const auto index : answering) {
      Heartbeat answer;
      answer.probe = probe.probe;
      answer.target = probe.target;
      answer.sender = Entry(index);
      if (AddressOf(index) == send.address) {
        answer.kind = HeartbeatKind::kAnswer;
      } else if (AddressOf(index) == probe.target_address) {
        answer.kind = HeartbeatKind::kForwardedAnswer;
      } else {
        continue;
      }
      const auto actions = this->Handle(HeartbeatArrived{answer});
      all.insert(all.end(), actions.begin(), actions.end());
    }
  }
};

template <typename Kind>
std::vector<Kind> ActionsOf(const Actions& actions) {
  std::vector<Kind> found;
  for (const auto& action : actions) {
    if (const auto* match = std::get_if<Kind>(&action)) found.push_back(*match);
  }
  return found;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(MembershipTableTest)

BOOST_AUTO_TEST_CASE(DiscoversListedHostsAndKeepsThoseThatAnswer) {
  TableFixture fixture;
  fixture.Handle(HostsListed{{{AddressOf(2)}, {AddressOf(1)}, {AddressOf(3)}}});
  fixture.Run(seconds(5), {2, 3});
  BOOST_TEST(fixture.table.HasContact());
  BOOST_TEST(fixture.table.Members().PresentCount() == 2U);
  fixture.Run(seconds(30), {2, 3});
  BOOST_TEST((fixture.StateOf(2) == MemberState::kAlive));
  BOOST_TEST((fixture.StateOf(3) == MemberState::kAlive));
  BOOST_TEST(fixture.table.LocalHealth() == 0);
}

BOOST_AUTO_TEST_CASE(SuspectsASilentMemberAfterAnIndirectProbe) {
  TableFixture fixture;
  fixture.ReceiveHeartbeat(Entry(2), {Entry(3), Entry(4)});
  const auto actions = fixture.Run(seconds(60), {2, 3});
  BOOST_TEST((fixture.StateOf(4) == MemberState::kGone));
  BOOST_TEST((fixture.StateOf(2) == MemberState::kAlive));
  bool has_asked = false;
  std::vector<MemberState> states;
  for (const auto& action : actions) {
    if (const auto* send = std::get_if<SendHeartbeat>(&action)) {
      const auto decoded = DecodeHeartbeat(send->body);
      BOOST_REQUIRE(decoded.HasValue());
      const bool is_request =
          decoded.Value().kind == HeartbeatKind::kProbeRequest;
      if (is_request)
        BOOST_TEST(decoded.Value().target_address == AddressOf(4));
      has_asked = has_asked || is_request;
    }
    const auto* change = std::get_if<MemberChanged>(&action);
    if (change == nullptr || change->entry.incarnation.value != 4) continue;
    if (change->entry.state == MemberState::kSuspect) BOOST_TEST(has_asked);
    states.push_back(change->entry.state);
  }
  BOOST_TEST((states == std::vector<MemberState>{MemberState::kSuspect,
                                                 MemberState::kGone}));
}

BOOST_AUTO_TEST_CASE(RefutesSuspicionsOfItself) {
  for (const bool is_protected : {true, false}) {
    MembershipProtections protections;
    protections.has_refutation = is_protected;
    TableFixture fixture(protections);
    auto claim = Entry(1);
    claim.state = MemberState::kSuspect;
    claim.revision = 4;
    fixture.ReceiveHeartbeat(Entry(2), {claim});
    BOOST_TEST(IsNewer(fixture.table.Self(), claim) == is_protected);
    BOOST_TEST(fixture.table.LocalHealth() == (is_protected ? 1 : 0));
  }
}

BOOST_AUTO_TEST_CASE(AcceptsARefutationFromAMemberThatIsGone) {
  TableFixture fixture;
  fixture.ReceiveHeartbeat(Entry(2), {Entry(3)});
  auto gone = Entry(3);
  gone.state = MemberState::kGone;
  fixture.ReceiveHeartbeat(Entry(2), {gone});
  BOOST_TEST((fixture.StateOf(3) == MemberState::kGone));
  fixture.ReceiveHeartbeat(Entry(2), {Entry(3)});
  BOOST_TEST((fixture.StateOf(3) == MemberState::kGone));
  auto refuted = Entry(3);
  refuted.revision = 1;
  fixture.ReceiveHeartbeat(refuted);
  BOOST_TEST((fixture.StateOf(3) == MemberState::kAlive));
}

// A host that receives no answers at all is more likely to be partitioned
// itself than to be the only one left, so it must not declare all its peers
// gone.
BOOST_AUTO_TEST_CASE(LocalHealthDelaysDeclaringSilentMembersGone) {
  const auto gone_after = [](bool is_protected) {
    MembershipProtections protections;
    protections.has_local_health = is_protected;
    TableFixture fixture(protections);
    std::vector<MemberEntry> others;
    for (std::uint64_t index = 2; index <= 10; ++index)
      others.push_back(Entry(index));
    fixture.ReceiveHeartbeat(Entry(2), others);
    fixture.Run(seconds(30), {});
    return 9 - fixture.table.Members().PresentCount();
  };
  const auto with = gone_after(true);
  const auto without = gone_after(false);
  BOOST_TEST_MESSAGE("gone after 30 s of silence: " << with << " of 9 with, "
                                                    << without << " without");
  BOOST_TEST(with == 0U);
  BOOST_TEST(without >= 5U);
}

BOOST_AUTO_TEST_CASE(DetectsOwnPauseBeforeExpiringSuspicions) {
  for (const bool is_protected : {true, false}) {
    MembershipProtections protections;
    protections.has_pause_detection = is_protected;
    TableFixture fixture(protections);
    fixture.ReceiveHeartbeat(Entry(2), {Entry(3)});
    fixture.Run(seconds(10), {2, 3});
    auto suspect = Entry(3);
    suspect.state = MemberState::kSuspect;
    fixture.ReceiveHeartbeat(Entry(2), {suspect});
    BOOST_TEST(fixture.table.HasContact());
    fixture.now += minutes(2);
    const auto actions = fixture.Handle(TimerFired{});
    BOOST_TEST(ActionsOf<PauseDetected>(actions).size() ==
               (is_protected ? 1U : 0U));
    BOOST_TEST(fixture.table.HasContact() == !is_protected);
    // Without pause detection, the pause counts towards the suspicion timeout
    // and the member is declared gone.
    const auto expected =
        is_protected ? MemberState::kSuspect : MemberState::kGone;
    BOOST_TEST((fixture.StateOf(3) == expected));
    if (!is_protected) continue;
    const auto later = fixture.Run(seconds(2), {2, 3});
    BOOST_TEST(ActionsOf<ContactEstablished>(later).size() == 1U);
    BOOST_TEST(fixture.table.HasContact());
  }
}

BOOST_AUTO_TEST_CASE(IgnoresAnswersNumberedBelowTheProbesSinceAPause) {
  TableFixture fixture;
  fixture.ReceiveHeartbeat(Entry(2));
  fixture.Run(seconds(2), {2});
  fixture.now += minutes(1);
  fixture.ReceiveHeartbeat(Entry(2));  // probe number 0, which no probe has
  BOOST_TEST(!fixture.table.HasContact());
}

BOOST_AUTO_TEST_CASE(DetectsAReplacedProcessFromItsAnswer) {
  TableFixture fixture;
  fixture.ReceiveHeartbeat(Entry(2));
  const auto actions = fixture.Handle(TimerFired{});
  const auto sends = ActionsOf<SendHeartbeat>(actions);
  BOOST_REQUIRE(sends.size() == 1U);
  Heartbeat answer;
  answer.kind = HeartbeatKind::kAnswer;
  answer.probe = DecodeHeartbeat(sends[0].body).Value().probe;
  answer.sender = Entry(2);
  answer.sender.incarnation = {99};
  fixture.Handle(HeartbeatArrived{answer});
  BOOST_TEST((fixture.StateOf(2) == MemberState::kGone));
  BOOST_TEST((fixture.StateOf(99) == MemberState::kAlive));
}

BOOST_AUTO_TEST_CASE(SendsLedgerHoldersAfterLeaving) {
  TableFixture fixture;
  fixture.ReceiveHeartbeat(Entry(2));
  fixture.Handle(LeaveBegun{});
  BOOST_TEST((fixture.table.Self().state == MemberState::kLeaving));
  fixture.Handle(LeaveEnded{{{"entry-7"}}});
  const auto sends = ActionsOf<SendHeartbeat>(fixture.Handle(TimerFired{}));
  BOOST_REQUIRE(sends.size() == 1U);
  const auto heartbeat = DecodeHeartbeat(sends[0].body);
  BOOST_REQUIRE(heartbeat.HasValue());
  BOOST_TEST((heartbeat.Value().sender.state == MemberState::kGone));
  BOOST_TEST(heartbeat.Value().sender.ledger_holders.at(0).value == "entry-7");
}

BOOST_AUTO_TEST_CASE(ForgetsGoneMembersAfterTheRetentionTime) {
  TableFixture fixture;
  auto gone = Entry(3);
  gone.state = MemberState::kGone;
  gone.gone_age = minutes(19);
  fixture.ReceiveHeartbeat(Entry(2), {gone});
  fixture.Run(minutes(2), {2});
  BOOST_TEST((fixture.table.Members().FindOrNull({3}) == nullptr));
  // An expired entry from a peer must not add the member again.
  gone.gone_age = minutes(21);
  fixture.ReceiveHeartbeat(Entry(2), {gone});
  BOOST_TEST((fixture.table.Members().FindOrNull({3}) == nullptr));
}

BOOST_AUTO_TEST_CASE(LimitsRepliesInEachPeriod) {
  const auto sends_in = [](bool is_protected, int probes_in_period) {
    MembershipProtections protections;
    protections.has_reply_limit = is_protected;
    TableFixture fixture(protections);
    std::vector<MemberEntry> others;
    for (std::uint64_t index = 2; index < 150; ++index)
      others.push_back(Entry(index));
    fixture.ReceiveHeartbeat(Entry(2), others);
    std::size_t sends = 0;
    for (int period = 0; period < 20; ++period) {
      auto actions = fixture.Run(MembershipTable::kProbePeriod, {});
      for (int probe = 0; probe < probes_in_period; ++probe) {
        auto replies = fixture.ReceiveHeartbeat(Entry(2), {},
                                                HeartbeatKind::kProbeRequest);
        actions.insert(actions.end(), replies.begin(), replies.end());
        replies = fixture.ReceiveHeartbeat(Entry(3), {}, HeartbeatKind::kProbe);
        actions.insert(actions.end(), replies.begin(), replies.end());
      }
      for (const auto& send : ActionsOf<SendHeartbeat>(actions)) {
        ++sends;
        BOOST_TEST(send.body.size() <= kMaxHeartbeatBytes);
      }
    }
    return sends;
  };
  BOOST_TEST(sends_in(true, 2) == sends_in(true, 0) + 40);
  BOOST_TEST(sends_in(true, 100) == sends_in(true, 0) + 80);
  BOOST_TEST(sends_in(false, 100) > 1000U);
}

// A caller may retry a call that crashes workers within milliseconds, before
// the next heartbeat carries the hint.
BOOST_AUTO_TEST_CASE(BroadcastsCrashHintsWithinTheLimit) {
  constexpr std::uint64_t kPeers = 9;
  TableFixture fixture;
  for (std::uint64_t peer = 2; peer < 2 + kPeers; ++peer) {
    fixture.ReceiveHeartbeat(Entry(peer));
  }
  std::size_t messages = 0;
  for (int crash = 1; crash <= 10; ++crash) {
    const CrashHint hint{7, {"bookings"}, {"10.1.0.1:80"}, crash};
    const auto actions = fixture.Handle(CrashHintRaised{hint});
    messages += actions.size();
    if (crash > 1) continue;
    BOOST_TEST(actions.size() == kPeers);
  }
  BOOST_TEST(messages == kPeers * MembershipTable::kMaxHintBroadcasts);
  fixture.now += MembershipTable::kHintBroadcastInterval;
  const CrashHint later{7, {"bookings"}, {"10.1.0.2:80"}, 1};
  const auto actions = fixture.Handle(CrashHintRaised{later});
  BOOST_TEST(actions.size() >= kPeers);
}

BOOST_AUTO_TEST_CASE(ForwardsCrashHintsOnceForEachHigherCount) {
  TableFixture fixture;
  Heartbeat heartbeat;
  heartbeat.kind = HeartbeatKind::kAnswer;
  heartbeat.sender = Entry(2);
  heartbeat.hints = {{7, {"truck-booking"}, {"10.0.1.1:80"}, 1}};
  const auto hear = [&] {
    return ActionsOf<CrashHintReceived>(
               fixture.Handle(HeartbeatArrived{heartbeat}))
        .size();
  };
  BOOST_TEST(hear() == 1U);
  BOOST_TEST(hear() == 0U);
  heartbeat.hints[0].crashes = 2;
  BOOST_TEST(hear() == 1U);
  const auto sends = ActionsOf<SendHeartbeat>(fixture.Run(seconds(20), {2}));
  int carried = 0;
  for (const auto& send : sends) {
    const auto decoded = DecodeHeartbeat(send.body);
    BOOST_REQUIRE(decoded.HasValue());
    for (const auto& hint : decoded.Value().hints) {
      BOOST_TEST(hint.crashes == 2);
      ++carried;
    }
  }
  BOOST_TEST(carried == 12);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace burdockwheel::membership
