// The sealed ledgers of hosts that have stopped.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "kernel/instant.h"
#include "ownership/ledger_entry.h"
#include "ownership/ledger_messages.h"

namespace burdockwheel::ownership {

// Read-only and bounded in bytes; a ledger is dropped when its last entry has
// expired.
class HeldLedgers {
 public:
  explicit HeldLedgers(std::size_t most_bytes);

  // Takes a part. Returns false if there is no room for all of it; none of it
  // is kept then.
  [[nodiscard]] bool TryTake(kernel::Instant now, LedgerPart part);

  // Returns what the sender of this call gets, or nothing if no entry of the
  // key is held.
  std::optional<CallResult> ResultOfKey(kernel::Instant now,
                                        const IdempotencyKey& key,
                                        const CallDigest& digest) const;

  // Returns the hosts whose ledgers are held.
  std::vector<PeerIdentity> Issuers() const;

  // Returns entries of a ledger with numbers above `after`, in their order, of
  // `most_bytes` or a single one.
  std::vector<SealedEntry> EntriesAfter(kernel::Instant now,
                                        const PeerIdentity& issuer,
                                        std::uint64_t after,
                                        std::size_t most_bytes) const;

  std::size_t Bytes() const { return this->bytes; }

 private:
  struct HeldEntry {
    LedgerEntry entry;
    kernel::Instant expires_at;
  };
  struct Ledger {
    std::map<std::uint64_t, HeldEntry> entries;
    std::size_t bytes = 0;
    kernel::Instant last_expires_at;
  };

  void Expire(kernel::Instant now);

  std::size_t most_bytes;
  std::size_t bytes = 0;
  std::map<PeerIdentity, Ledger> ledgers;
};

}  // namespace burdockwheel::ownership
