// Hands a sealed ledger to the peers that will answer for it.
#pragma once

#include <cstdint>
#include <optional>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "ownership/ownership_actions.h"
#include "ownership/ownership_settings.h"

namespace burdockwheel::ownership {

class KeyLedger;

// Sends the ledger part by part to each holder, and the next part when the
// holder has taken the last. A holder that does not reply is given up.
class LedgerHandover {
 public:
  static constexpr int kMostSendsOfPart = 4;

  explicit LedgerHandover(const OwnershipSettings& settings);

  bool HasBegun() const { return this->has_begun; }

  // Precondition: the ledger is sealed and no run is in flight.
  void Begin(kernel::Instant now, const KeyLedger& ledger,
             const std::vector<model::HostId>& holders, Actions& actions);

  void HandlePartTaken(kernel::Instant now, const KeyLedger& ledger,
                       const model::HostId& holder, std::uint64_t index,
                       Actions& actions);

  void HandleTimer(kernel::Instant now, const KeyLedger& ledger,
                   Actions& actions);

  std::optional<kernel::Instant> NextWake() const;

 private:
  enum class TransferState { kSending, kDone, kGivenUp };
  struct Transfer {
    model::HostId holder;
    TransferState state = TransferState::kSending;
    std::uint64_t index = 0;        // of the part that is being sent
    std::uint64_t taken_up_to = 0;  // sequence numbers
    std::uint64_t sent_up_to = 0;
    int sends = 0;  // of this part
    kernel::Instant resend_at;
  };

  void SendPart(kernel::Instant now, const KeyLedger& ledger,
                Transfer& transfer, Actions& actions);
  void EndIfComplete(const KeyLedger& ledger, Actions& actions);

  OwnershipSettings settings;
  bool has_begun = false;
  bool has_ended = false;
  std::vector<Transfer> transfers;
};

}  // namespace burdockwheel::ownership
