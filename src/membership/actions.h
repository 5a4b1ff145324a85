// What the membership wants done: the output of MembershipTable.
#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "engine/actions.h"
#include "kernel/instant.h"
#include "membership/crash_hint.h"
#include "membership/member.h"
#include "model/identifiers.h"

namespace burdockwheel::membership {

// Send a message of the kind kHeartbeat; it may be lost.
struct SendHeartbeat {
  std::string address;
  std::string body;  // at most kMostHeartbeatBytes long
};

// The table holds something new of a member.
struct MemberChanged {
  MemberEntry entry;
  std::optional<MemberState> previous_state;  // nothing: it was not known
};

// A member was heard itself, with this configuration in force.
struct StampReceived {
  model::HostId host;
  model::Incarnation incarnation;
  std::string address;
  configuration::ConfigurationStamp stamp;
};

// A peer raised a suspicion that was not known here, or a higher count.
struct CrashHintReceived {
  CrashHint hint;
};

// This host did not run for this long. What it holds may be out of date: it
// should refresh its configuration and only then act on it.
struct PauseDetected {
  std::chrono::milliseconds length{0};
};

// A peer has answered since the last pause or start.
struct ContactRegained {};

using engine::RecordChange;
using engine::WakeAt;

using Action =
    std::variant<SendHeartbeat, MemberChanged, StampReceived, CrashHintReceived,
                 PauseDetected, ContactRegained, RecordChange, WakeAt>;

// The actions of one event, in the order in which they are to be done.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::membership
