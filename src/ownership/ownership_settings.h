// The bounds and times of ownership.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <set>

#include "ownership/ownership_events.h"

namespace burdockwheel::ownership {

// What keeps a call from running twice. Tests switch one off to show that they
// would notice its loss; nothing else does.
enum class Protection {
  kOwnIncarnationOnly,  // a key of another incarnation is never run
  kNoTakeover,          // a key whose issuer cannot be reached is never run
  kUseRecorded,         // a used key is never run again
  kNotRunRecorded,      // a key that was told not-run is never run
  kUnknownRecorded,     // a key whose run broke off is never run again
  kExpiredRefused,      // a forgotten key is never run
  kCallBound,           // a key serves one caller and one body only
  kAskerNamed,          // a reply to an earlier life of the asker is dropped
  kSealed,              // a ledger that was handed over starts no run
};

struct LedgerSettings {
  std::size_t most_keys = 65536;
  std::chrono::milliseconds key_retention = std::chrono::minutes(10);
  std::size_t most_answer_bytes = std::size_t{8} << 20U;  // of all answers
  std::size_t most_bytes_each = std::size_t{64} << 10U;   // of one answer
  std::size_t most_waiters_each = 16;  // callers that wait for one run
};

struct OwnershipSettings {
  PeerIdentity self;
  LedgerSettings ledger;
  std::size_t most_pending_calls = 16384;  // calls that wait for a result
  // A forwarded call is sent again if no reply came after this time, and once
  // more after four times as long.
  std::chrono::milliseconds forward_resend_after{400};
  // How long holders of a ledger are waited for.
  std::chrono::milliseconds holder_timeout{500};
  // After a pause no run is started for this long: what is read then may be
  // older than its deadline.
  std::chrono::milliseconds distrust_after_pause{1000};
  std::size_t ledger_holders = 2;  // peers that are given a sealed ledger
  std::size_t most_held_bytes = std::size_t{16} << 20U;  // for all peers
  std::size_t ledger_part_bytes = std::size_t{256} << 10U;
  std::set<Protection> switched_off_in_tests;

  bool IsOn(Protection protection) const {
    return !this->switched_off_in_tests.contains(protection);
  }
};

}  // namespace burdockwheel::ownership
