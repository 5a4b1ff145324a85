// The actions that MembershipTable returns for its user to carry out.
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

// Sends a message of the kind kHeartbeat; delivery is not guaranteed.
struct SendHeartbeat {
  std::string address;
  // At most kMaxHeartbeatBytes, or kMaxMembersBytes for a kMembers.
  std::string body;
};

// A member was added to the table, or its state or address changed.
struct MemberChanged {
  MemberEntry entry;
  std::optional<MemberState> previous_state;  // empty if it was not known
};

// A heartbeat arrived from the member itself; `stamp` identifies the
// configuration in force there.
struct StampReceived {
  model::HostId host;
  model::Incarnation incarnation;
  std::string address;
  configuration::ConfigurationStamp stamp;
};

// A peer sent a crash hint that is new to this host, or one with a higher crash
// count.
struct CrashHintReceived {
  CrashHint hint;
};

// The time between two events was `length`, so this host was probably paused
// and its state may be out of date: it should refresh its configuration and
// only then act on it.
struct PauseDetected {
  std::chrono::milliseconds length{0};
};

// A peer answered a probe for the first time since the last pause or start.
struct ContactEstablished {};

using engine::RecordChange;
using engine::WakeAt;

using Action =
    std::variant<SendHeartbeat, MemberChanged, StampReceived, CrashHintReceived,
                 PauseDetected, ContactEstablished, RecordChange, WakeAt>;

// The actions that follow from one event, in the order to carry them out.
using Actions = std::vector<Action>;

}  // namespace burdockwheel::membership
