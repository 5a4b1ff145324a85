#include "ownership/ledger_handover.h"

#include <algorithm>
#include <set>
#include <string>
#include <utility>

#include "ownership/ledger_messages.h"

namespace burdockwheel::ownership {

LedgerHandover::LedgerHandover(const OwnershipSettings& settings,
                               EntrySource entries_after)
    : settings(settings), entries_after(std::move(entries_after)) {}

void LedgerHandover::Begin(kernel::Instant now,
                           const std::vector<LedgerAssignment>& ledgers,
                           Actions& actions) {
  this->has_begun = true;
  for (const LedgerAssignment& ledger : ledgers) {
    for (const model::HostId& holder : ledger.holders) {
      Transfer& transfer = this->transfers.emplace_back();
      transfer.issuer = ledger.issuer;
      transfer.holder = holder;
    }
  }
  this->StartWaiting(now, actions);
  this->EndIfComplete(actions);
}

void LedgerHandover::HandlePartTaken(kernel::Instant now,
                                     const model::HostId& holder,
                                     std::uint64_t index, Actions& actions) {
  for (Transfer& transfer : this->transfers) {
    if (transfer.holder != holder || transfer.index != index) continue;
    if (transfer.state != TransferState::kSending) continue;
    transfer.taken_up_to = transfer.sent_up_to;
    this->SendNextPart(now, transfer, actions);
  }
  this->StartWaiting(now, actions);
  this->EndIfComplete(actions);
}

void LedgerHandover::HandleTimer(kernel::Instant now, Actions& actions) {
  for (Transfer& transfer : this->transfers) {
    if (transfer.state != TransferState::kSending) continue;
    if (transfer.resend_at > now) continue;
    if (transfer.sends >= kMostSendsOfPart) {
      this->GiveUp(transfer.holder);
      continue;
    }
    this->SendPart(now, transfer, actions);
  }
  this->StartWaiting(now, actions);
  this->EndIfComplete(actions);
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

void LedgerHandover::SendNextPart(kernel::Instant now, Transfer& transfer,
                                  Actions& actions) {
  this->last_index += 1;
  transfer.index = this->last_index;
  transfer.sends = 0;
  this->SendPart(now, transfer, actions);
}

void LedgerHandover::SendPart(kernel::Instant now, Transfer& transfer,
                              Actions& actions) {
  LedgerPart part;
  part.issuer = transfer.issuer;
  part.index = transfer.index;
  part.entries = this->entries_after(now, transfer.issuer, transfer.taken_up_to,
                                     this->settings.ledger_part_bytes);
  if (part.entries.empty()) {
    transfer.state = TransferState::kDone;
    return;
  }
  transfer.state = TransferState::kSending;
  transfer.sent_up_to = part.entries.back().sequence;
  transfer.sends += 1;
  transfer.resend_at = now + this->settings.holder_timeout;
  actions.emplace_back(SendToPeer{transfer.holder,
                                  peer::MessageKind::kLedgerPart,
                                  EncodeLedgerPart(part), ForwardId{}});
}

// Starts the next ledger of each holder that is sent none.
void LedgerHandover::StartWaiting(kernel::Instant now, Actions& actions) {
  std::set<model::HostId> busy;
  for (const Transfer& transfer : this->transfers)
    if (transfer.state == TransferState::kSending) busy.insert(transfer.holder);
  for (Transfer& transfer : this->transfers) {
    if (transfer.state != TransferState::kWaiting) continue;
    if (busy.contains(transfer.holder)) continue;
    this->SendNextPart(now, transfer, actions);
    if (transfer.state == TransferState::kSending) busy.insert(transfer.holder);
  }
}

void LedgerHandover::GiveUp(const model::HostId& holder) {
  for (Transfer& transfer : this->transfers) {
    if (transfer.holder != holder) continue;
    if (transfer.state != TransferState::kDone)
      transfer.state = TransferState::kGivenUp;
  }
}

void LedgerHandover::EndIfComplete(Actions& actions) {
  if (this->has_ended) return;
  HandOverEnded ended;
  std::size_t given_up = 0;
  for (const Transfer& transfer : this->transfers) {
    if (transfer.state == TransferState::kGivenUp) given_up += 1;
    if (transfer.state == TransferState::kWaiting) return;
    if (transfer.state == TransferState::kSending) return;
    if (transfer.state == TransferState::kDone &&
        transfer.issuer == this->settings.self)
      ended.holders.push_back(transfer.holder);
  }
  this->has_ended = true;
  actions.emplace_back(
      RecordChange{"ledger", "sealed", "handed-over", "planned-stop",
                   "holders=" + std::to_string(ended.holders.size()) +
                       " transfers=" + std::to_string(this->transfers.size()) +
                       " given-up=" + std::to_string(given_up)});
  actions.emplace_back(std::move(ended));
}

}  // namespace burdockwheel::ownership
