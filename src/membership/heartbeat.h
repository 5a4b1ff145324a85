// The body of a heartbeat message and its codec.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_stamp.h"
#include "kernel/result.h"
#include "membership/crash_hint.h"
#include "membership/member.h"
#include "model/identifiers.h"

namespace burdockwheel::membership {

// The maximum encoded size of every heartbeat except a kMembers. It has room
// for the longest names that settings allow.
constexpr std::size_t kMaxHeartbeatBytes = 512;

// The maximum encoded size of a kMembers. It has room for 1,024 members with
// the longest names.
constexpr std::size_t kMaxMembersBytes = std::size_t{512} << 10U;

// Gossiped entries and hints are added only while the heartbeat stays within
// this size.
constexpr std::size_t kPiggybackLimitBytes = 280;

enum class HeartbeatKind : std::uint8_t {
  kProbe = 1,          // requests a kAnswer
  kAnswer = 2,         // the sender is alive
  kProbeRequest = 3,   // asks the receiver to probe `target`
  kRelayedProbe = 4,   // requests a kRelayedAnswer
  kRelayedAnswer = 5,  // the sender is alive; the receiver tells the requester
  kForwardedAnswer = 6,  // `target` is alive: it answered the sender
  kMembersRequest = 7,   // requests a kMembers
  kMembers = 8,          // `entries` are all members that the sender knows
};

struct Heartbeat {
  HeartbeatKind kind = HeartbeatKind::kProbe;
  // Set by the host that probes; zero if this belongs to no probe.
  std::uint32_t probe = 0;
  // The member that is probed or has answered; zero if only its address is
  // known.
  model::Incarnation target;
  std::string target_address;     // of a kProbeRequest
  std::string requester_address;  // of a relayed probe or answer
  MemberEntry sender;
  configuration::ConfigurationStamp stamp;  // in force at the sender
  std::vector<MemberEntry> entries;         // of other members
  std::vector<CrashHint> hints;

  friend bool operator==(const Heartbeat&, const Heartbeat&) = default;
};

enum class HeartbeatFailure {
  kTooLarge,
  kMalformed,
  kUnsupportedVersion,
  kFieldOutOfRange,
};

std::string EncodeHeartbeat(const Heartbeat& heartbeat);

kernel::Result<Heartbeat, HeartbeatFailure> DecodeHeartbeat(
    std::string_view bytes);

// Returns the number of bytes that an entry or a hint adds to a heartbeat.
std::size_t EncodedSize(const MemberEntry& entry);
std::size_t EncodedSize(const CrashHint& hint);

}  // namespace burdockwheel::membership
