// What a ledger knows of one key.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "model/refusal.h"
#include "ownership/call_digest.h"
#include "ownership/forwarded_call.h"
#include "ownership/idempotency_key.h"

namespace burdockwheel::ownership {

// The numbers are part of the protocol between hosts.
enum class EntryState : std::uint8_t {
  kUnused = 1,         // issued; no call has come
  kRunning = 2,        // a call may be at a worker
  kAnswered = 3,       // has run; the answer is held
  kAnswerNotKept = 4,  // has run; the answer is no longer held
  kRefused = 5,        // will not run any more; the refusal says if it may have
};

struct LedgerEntry {
  KeyNonce nonce;
  EntryState state = EntryState::kUnused;
  bool is_bound = false;   // a call has come
  CallDigest digest;       // of that call; meaningful if bound
  model::Refusal refusal;  // if kRefused
  std::shared_ptr<const ForwardedAnswer> answer;  // if kAnswered
};

// An entry of a sealed ledger on its way to a holder.
struct SealedEntry {
  std::uint64_t sequence = 0;
  LedgerEntry entry;
  std::chrono::milliseconds expires_in{0};
};

// Bytes that an answer takes in memory and in messages, nearly.
std::size_t SizeOf(const ForwardedAnswer& answer);

// Tells what the sender of this call gets by an entry that is neither kUnused
// nor kRunning: its own result, or a refusal if the entry is another call's.
CallResult ResultOf(const LedgerEntry& entry, const KeyNonce& nonce,
                    const CallDigest& digest);

}  // namespace burdockwheel::ownership
