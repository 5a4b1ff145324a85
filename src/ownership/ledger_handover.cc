#include "ownership/ledger_handover.h"

#include <algorithm>
#include <string>
#include <utility>

#include "ownership/key_ledger.h"
#include "ownership/ledger_messages.h"

namespace burdockwheel::ownership {

LedgerHandover::LedgerHandover(const OwnershipSettings& settings)
    : settings(settings) {}

void LedgerHandover::Begin(kernel::Instant now, const KeyLedger& ledger,
                           const std::vector<model::HostId>& holders,
                           Actions& actions) {
  this->has_begun = true;
  for (const model::HostId& holder : holders) {
    Transfer& transfer = this->transfers.emplace_back();
    transfer.holder = holder;
    this->SendPart(now, ledger, transfer, actions);
  }
  this->EndIfComplete(ledger, actions);
}

void LedgerHandover::HandlePartTaken(kernel::Instant now,
                                     const KeyLedger& ledger,
                                     const model::HostId& holder,
                                     std::uint64_t index, Actions& actions) {
  for (Transfer& transfer : this->transfers) {
    if (transfer.holder != holder || transfer.index != index) continue;
    if (transfer.state != TransferState::kSending) continue;
    transfer.index += 1;
    transfer.taken_up_to = transfer.sent_up_to;
    transfer.sends = 0;
    this->SendPart(now, ledger, transfer, actions);
  }
  this->EndIfComplete(ledger, actions);
}

void LedgerHandover::HandleTimer(kernel::Instant now, const KeyLedger& ledger,
                                 Actions& actions) {
  for (Transfer& transfer : this->transfers) {
    if (transfer.state != TransferState::kSending) continue;
    if (transfer.resend_at > now) continue;
    if (transfer.sends >= kMostSendsOfPart) {
      transfer.state = TransferState::kGivenUp;
      continue;
    }
    this->SendPart(now, ledger, transfer, actions);
  }
  this->EndIfComplete(ledger, actions);
}

std::optional<kernel::Instant> LedgerHandover::NextWake() const {
  std::optional<kernel::Instant> next;
  for (const Transfer& transfer : this->transfers) {
    if (transfer.state != TransferState::kSending) continue;
    if (!next.has_value() || transfer.resend_at < *next)
      next = transfer.resend_at;
  }
  return next;
}

void LedgerHandover::SendPart(kernel::Instant now, const KeyLedger& ledger,
                              Transfer& transfer, Actions& actions) {
  LedgerPart part;
  part.issuer = this->settings.self;
  part.index = transfer.index;
  part.entries = ledger.EntriesAfter(now, transfer.taken_up_to,
                                     this->settings.ledger_part_bytes);
  if (part.entries.empty()) {
    transfer.state = TransferState::kDone;
    return;
  }
  transfer.sent_up_to = part.entries.back().sequence;
  transfer.sends += 1;
  transfer.resend_at = now + this->settings.holder_timeout;
  actions.emplace_back(SendToPeer{transfer.holder,
                                  peer::MessageKind::kLedgerPart,
                                  EncodeLedgerPart(part), ForwardId{}});
}

void LedgerHandover::EndIfComplete(const KeyLedger& ledger, Actions& actions) {
  if (this->has_ended) return;
  HandOverEnded ended;
  for (const Transfer& transfer : this->transfers) {
    if (transfer.state == TransferState::kSending) return;
    if (transfer.state == TransferState::kDone)
      ended.holders.push_back(transfer.holder);
  }
  this->has_ended = true;
  actions.emplace_back(
      RecordChange{"ledger", "sealed", "handed-over", "planned-stop",
                   "keys=" + std::to_string(ledger.KeyCount()) +
                       " holders=" + std::to_string(ended.holders.size()) +
                       " asked=" + std::to_string(this->transfers.size())});
  actions.emplace_back(std::move(ended));
}

}  // namespace burdockwheel::ownership
