// The keys that this host incarnation has issued, and what became of each.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "kernel/result.h"
#include "model/refusal.h"
#include "ownership/ledger_entry.h"
#include "ownership/ownership_settings.h"

namespace burdockwheel::ownership {

// The call is this key's first one: it is to be run.
struct StartRun {};
// The call is being run: its result is to be waited for.
struct JoinRun {};

using LedgerDecision = std::variant<StartRun, JoinRun, CallResult>;

// Bounded: a slot is reserved when its key is issued, so that each outcome can
// be recorded. Slots are kept for the retention time from issue, and while
// their call is in flight.
class KeyLedger {
 public:
  explicit KeyLedger(const OwnershipSettings& settings);

  // Issues a key, or refuses if no slot is free or the ledger is sealed.
  kernel::Result<IdempotencyKey, model::Refusal> TryIssue(
      kernel::Instant now, const KeyNonce& nonce);

  // Decides on a call. Precondition: the key names this incarnation.
  LedgerDecision Use(kernel::Instant now, const IdempotencyKey& key,
                     const CallDigest& digest, kernel::Instant deadline);

  // Records how a run ended.
  void EndRun(kernel::Instant now, std::uint64_t sequence,
              const CallResult& result);

  // Closes every unused key as not-run, for good, and issues no more.
  void Seal();

  bool IsSealed() const { return this->is_sealed; }
  std::size_t RunsInFlight() const { return this->runs_in_flight; }
  std::size_t KeyCount() const { return this->slots.size(); }
  std::size_t AnswerBytes() const { return this->answer_bytes; }

  // Returns entries with numbers above `after`, in their order, of
  // `most_bytes` or a single one. Precondition: sealed, and no run in flight.
  std::vector<SealedEntry> EntriesAfter(kernel::Instant now,
                                        std::uint64_t after,
                                        std::size_t most_bytes) const;

 private:
  struct Slot {
    LedgerEntry entry;
    kernel::Instant expires_at;
    bool is_expired = false;  // kept only until its run ends
  };

  void Expire(kernel::Instant now);
  void Erase(std::map<std::uint64_t, Slot>::iterator slot);
  LedgerDecision StartUnlessLate(kernel::Instant now, LedgerEntry& entry,
                                 const CallDigest& digest,
                                 kernel::Instant deadline);
  void KeepAnswer(std::uint64_t sequence, LedgerEntry& entry,
                  const ForwardedAnswer& answer);
  void DropAnswer(std::uint64_t sequence, LedgerEntry& entry);

  OwnershipSettings settings;
  bool is_sealed = false;
  std::uint64_t last_sequence = 0;
  std::size_t runs_in_flight = 0;
  std::size_t answer_bytes = 0;
  std::map<std::uint64_t, Slot> slots;
  std::deque<std::uint64_t> expiry_order;
  std::set<std::uint64_t> answered;  // slots that hold an answer
};

}  // namespace burdockwheel::ownership
