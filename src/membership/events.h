// The events that MembershipTable handles.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "membership/crash_hint.h"
#include "membership/heartbeat.h"
#include "model/identifiers.h"

namespace burdockwheel::membership {

// A wake-up time that the table requested has been reached.
struct TimerFired {};

// A heartbeat arrived from a peer and was decoded.
struct HeartbeatArrived {
  Heartbeat heartbeat;
};

// A host in the platform's list, which lags behind the actual state.
struct ListedHost {
  std::string address;  // IP address and port that peers send to
  bool is_leaving = false;
};

// The platform's list of entry hosts was read.
struct HostsListed {
  std::vector<ListedHost> hosts;
};

// The seed addresses in the settings changed. A host that starts asks its seeds
// for all members.
struct SeedsChanged {
  std::vector<std::string> addresses;  // IP addresses and ports
};

// A configuration came into force on this host.
struct StampChanged {
  configuration::ConfigurationStamp stamp;
};

// This host suspects that a call crashes workers.
struct CrashHintRaised {
  CrashHint hint;
};

// This host begins its planned shutdown.
struct LeaveBegun {};

// This host has handed its ledger over and will exit. It should keep running
// for MembershipTable::kLeaveAnnouncementTime so that its peers learn that it
// stopped.
struct LeaveEnded {
  std::vector<model::HostId> ledger_holders;  // at most kMaxLedgerHolders
};

using Event =
    std::variant<TimerFired, HeartbeatArrived, HostsListed, StampChanged,
                 SeedsChanged, CrashHintRaised, LeaveBegun, LeaveEnded>;

}  // namespace burdockwheel::membership
