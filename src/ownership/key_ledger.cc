#include "ownership/key_ledger.h"

#include <algorithm>
#include <memory>
#include <utility>

namespace burdockwheel::ownership {

namespace {

using model::Refusal;
using model::RefusalReason;
using model::RunState;

constexpr std::size_t kSealedEntryBytes = 160;  // encoded, without an answer

}  // namespace

KeyLedger::KeyLedger(const OwnershipSettings& settings) : settings(settings) {}

kernel::Result<IdempotencyKey, Refusal> KeyLedger::TryIssue(
    kernel::Instant now, const KeyNonce& nonce) {
  this->Expire(now);
  if (this->is_sealed)
    return Refusal{RefusalReason::kHostStopping, RunState::kNotRun};
  if (this->slots.size() >= this->settings.ledger.most_keys)
    return Refusal{RefusalReason::kKeysExhausted, RunState::kNotRun,
                   std::chrono::seconds(1)};
  this->last_sequence += 1;
  Slot slot;
  slot.entry.nonce = nonce;
  slot.expires_at = now + this->settings.ledger.key_retention;
  this->slots.emplace_hint(this->slots.end(), this->last_sequence,
                           std::move(slot));
  this->expiry_order.push_back(this->last_sequence);
  return IdempotencyKey{this->settings.self.host,
                        this->settings.self.incarnation, this->last_sequence,
                        nonce};
}

LedgerDecision KeyLedger::Use(kernel::Instant now, const IdempotencyKey& key,
                              const CallDigest& digest,
                              kernel::Instant deadline) {
  this->Expire(now);
  if (key.sequence == 0 || key.sequence > this->last_sequence)
    return Refusal{RefusalReason::kKeyUnrecognized, RunState::kNotRun};
  const auto found = this->slots.find(key.sequence);
  if (found == this->slots.end()) {
    if (!this->settings.IsOn(Protection::kExpiredRefused)) return StartRun{};
    return Refusal{RefusalReason::kKeyExpired, RunState::kUnknown};
  }
  LedgerEntry& entry = found->second.entry;
  if (!(entry.nonce == key.nonce))
    return Refusal{RefusalReason::kKeyUnrecognized, RunState::kNotRun};
  if (entry.state == EntryState::kUnused)
    return this->StartUnlessLate(now, entry, digest, deadline);
  if (!this->settings.IsOn(Protection::kUseRecorded)) return StartRun{};
  if (!this->settings.IsOn(Protection::kCallBound)) entry.digest = digest;
  if (entry.state == EntryState::kRunning && entry.digest == digest)
    return JoinRun{};
  return ResultOf(entry, key.nonce, digest);
}

LedgerDecision KeyLedger::StartUnlessLate(kernel::Instant now,
                                          LedgerEntry& entry,
                                          const CallDigest& digest,
                                          kernel::Instant deadline) {
  entry.is_bound = true;
  entry.digest = digest;
  if (deadline <= now) {
    entry.state = EntryState::kRefused;
    entry.refusal = {RefusalReason::kDeadlineExceeded, RunState::kNotRun};
    return entry.refusal;
  }
  entry.state = EntryState::kRunning;
  this->runs_in_flight += 1;
  return StartRun{};
}

void KeyLedger::EndRun(kernel::Instant now, std::uint64_t sequence,
                       const CallResult& result) {
  const auto found = this->slots.find(sequence);
  if (found == this->slots.end()) return;
  Slot& slot = found->second;
  if (slot.entry.state != EntryState::kRunning) return;
  this->runs_in_flight -= 1;
  if (const auto* answer = std::get_if<ForwardedAnswer>(&result)) {
    this->KeepAnswer(sequence, slot.entry, *answer);
  } else {
    slot.entry.state = EntryState::kRefused;
    slot.entry.refusal = std::get<Refusal>(result);
    const bool is_recorded =
        this->settings.IsOn(slot.entry.refusal.run_state == RunState::kNotRun
                                ? Protection::kNotRunRecorded
                                : Protection::kUnknownRecorded);
    if (!is_recorded) slot.entry.state = EntryState::kUnused;
  }
  if (slot.is_expired) this->Erase(found);
  this->Expire(now);
}

void KeyLedger::Seal() {
  this->is_sealed = true;
  if (!this->settings.IsOn(Protection::kSealed)) return;
  for (auto& [sequence, slot] : this->slots) {
    if (slot.entry.state != EntryState::kUnused) continue;
    slot.entry.state = EntryState::kRefused;
    slot.entry.refusal = {RefusalReason::kHostStopping, RunState::kNotRun};
  }
}

std::vector<SealedEntry> KeyLedger::EntriesAfter(kernel::Instant now,
                                                 std::uint64_t after,
                                                 std::size_t most_bytes) const {
  std::vector<SealedEntry> entries;
  std::size_t bytes = 0;
  for (auto at = this->slots.upper_bound(after); at != this->slots.end();
       ++at) {
    const Slot& slot = at->second;
    bytes += kSealedEntryBytes;
    if (slot.entry.answer != nullptr) bytes += SizeOf(*slot.entry.answer);
    if (!entries.empty() && bytes > most_bytes) break;
    const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
        slot.expires_at - now);
    SealedEntry sealed{at->first, slot.entry,
                       std::max(left, std::chrono::milliseconds(0))};
    if (sealed.entry.state == EntryState::kUnused) {
      sealed.entry.state = EntryState::kRefused;
      sealed.entry.refusal = {RefusalReason::kHostStopping, RunState::kNotRun};
    }
    entries.push_back(std::move(sealed));
  }
  return entries;
}

void KeyLedger::Expire(kernel::Instant now) {
  while (!this->expiry_order.empty()) {
    const auto oldest = this->slots.find(this->expiry_order.front());
    if (oldest->second.expires_at > now) return;
    this->expiry_order.pop_front();
    if (oldest->second.entry.state == EntryState::kRunning) {
      oldest->second.is_expired = true;
      continue;
    }
    this->Erase(oldest);
  }
}

void KeyLedger::Erase(std::map<std::uint64_t, Slot>::iterator slot) {
  this->DropAnswer(slot->first, slot->second.entry);
  this->slots.erase(slot);
}

void KeyLedger::KeepAnswer(std::uint64_t sequence, LedgerEntry& entry,
                           const ForwardedAnswer& answer) {
  const LedgerSettings& bounds = this->settings.ledger;
  const std::size_t size = SizeOf(answer);
  entry.state = EntryState::kAnswerNotKept;
  if (size > bounds.most_bytes_each || size > bounds.most_answer_bytes) return;
  while (this->answer_bytes + size > bounds.most_answer_bytes) {
    const std::uint64_t oldest = *this->answered.begin();
    this->DropAnswer(oldest, this->slots.find(oldest)->second.entry);
  }
  entry.state = EntryState::kAnswered;
  entry.answer = std::make_shared<const ForwardedAnswer>(answer);
  this->answer_bytes += size;
  this->answered.insert(sequence);
}

void KeyLedger::DropAnswer(std::uint64_t sequence, LedgerEntry& entry) {
  if (entry.answer == nullptr) return;
  this->answer_bytes -= SizeOf(*entry.answer);
  this->answered.erase(sequence);
  entry.answer.reset();
  entry.state = EntryState::kAnswerNotKept;
}

}  // namespace burdockwheel::ownership
