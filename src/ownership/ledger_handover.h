// Hands sealed ledgers to the peers that will answer for them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "ownership/ledger_entry.h"
#include "ownership/ownership_actions.h"
#include "ownership/ownership_settings.h"

namespace burdockwheel::ownership {

// A ledger and the peers that are to hold it.
struct LedgerAssignment {
  PeerIdentity issuer;
  std::vector<model::HostId> holders;
};

// Sends each ledger part by part to each of its holders, the next part when the
// last was taken, and one ledger at a time to one holder. A holder that does
// not reply is given up for all ledgers.
class LedgerHandover {
 public:
  static constexpr int kMostSendsOfPart = 4;

  // Returns the entries of a ledger with numbers above `after`, in their order,
  // of `most_bytes` or a single one.
  using EntrySource = std::function<std::vector<SealedEntry>(
      kernel::Instant now, const PeerIdentity& issuer, std::uint64_t after,
      std::size_t most_bytes)>;

  LedgerHandover(const OwnershipSettings& settings, EntrySource entries_after);

  bool HasBegun() const { return this->has_begun; }

  // Precondition: the ledgers can no longer change.
  void Begin(kernel::Instant now, const std::vector<LedgerAssignment>& ledgers,
             Actions& actions);

  void HandlePartTaken(kernel::Instant now, const model::HostId& holder,
                       std::uint64_t index, Actions& actions);

  void HandleTimer(kernel::Instant now, Actions& actions);

  std::optional<kernel::Instant> NextWake() const;

 private:
  enum class TransferState { kWaiting, kSending, kDone, kGivenUp };
  struct Transfer {
    PeerIdentity issuer;
    model::HostId holder;
    TransferState state = TransferState::kWaiting;
    std::uint64_t index = 0;        // of the part that is being sent
    std::uint64_t taken_up_to = 0;  // sequence numbers
    std::uint64_t sent_up_to = 0;
    int sends = 0;  // of this part
    kernel::Instant resend_at;
  };

  void SendNextPart(kernel::Instant now, Transfer& transfer, Actions& actions);
  void SendPart(kernel::Instant now, Transfer& transfer, Actions& actions);
  void StartWaiting(kernel::Instant now, Actions& actions);
  void GiveUp(const model::HostId& holder);
  void EndIfComplete(Actions& actions);

  OwnershipSettings settings;
  EntrySource entries_after;
  bool has_begun = false;
  bool has_ended = false;
  std::uint64_t last_index = 0;
  std::vector<Transfer> transfers;
};

}  // namespace burdockwheel::ownership
