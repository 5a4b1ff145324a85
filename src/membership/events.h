// What happens to the membership of a host: the input of MembershipTable.
#pragma once

#include <string>
#include <variant>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "membership/crash_hint.h"
#include "membership/heartbeat.h"
#include "model/identifiers.h"

namespace burdockwheel::membership {

// A time that the table asked to be woken at has come.
struct TimerFired {};

// A heartbeat came from a peer and was decoded.
struct HeartbeatArrived {
  Heartbeat heartbeat;
};

// A host as the platform's list, which lags, shows it.
struct ListedHost {
  std::string address;  // IP number and port that peers send to
  bool is_leaving = false;
};

// The platform's list of entry hosts was read.
struct HostsListed {
  std::vector<ListedHost> hosts;
};

// The settings name other hosts to begin with.
struct SeedsChanged {
  std::vector<std::string> addresses;  // IP numbers and ports
};

// A configuration came into force on this host.
struct StampChanged {
  configuration::ConfigurationStamp stamp;
};

// This host suspects a call of crashing workers.
struct CrashHintRaised {
  CrashHint hint;
};

// This host begins its planned stop.
struct LeaveBegun {};

// This host has handed its ledger over and will end; it should run on for
// MembershipTable::kLeaveAnnouncementTime so that its peers learn of it.
struct LeaveEnded {
  std::vector<model::HostId> ledger_holders;  // at most kMostLedgerHolders
};

using Event =
    std::variant<TimerFired, HeartbeatArrived, HostsListed, StampChanged,
                 SeedsChanged, CrashHintRaised, LeaveBegun, LeaveEnded>;

}  // namespace burdockwheel::membership
