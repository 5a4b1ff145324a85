#include "ownership/held_ledgers.h"

#include <algorithm>
#include <utility>

namespace burdockwheel::ownership {

namespace {

constexpr std::size_t kNodeBytes = 64;  // of a map, nearly

std::size_t SizeOf(const LedgerEntry& entry) {
  std::size_t size = sizeof(LedgerEntry) + kNodeBytes;
  if (entry.answer != nullptr) size += SizeOf(*entry.answer);
  return size;
}

}  // namespace

HeldLedgers::HeldLedgers(std::size_t most_bytes) : most_bytes(most_bytes) {}

bool HeldLedgers::TryTake(kernel::Instant now, LedgerPart part) {
  this->Expire(now);
  std::size_t part_bytes = 0;
  for (const SealedEntry& sealed : part.entries)
    part_bytes += SizeOf(sealed.entry);
  if (this->bytes + part_bytes > this->most_bytes) return false;

  Ledger& ledger = this->ledgers[part.issuer];
  for (SealedEntry& sealed : part.entries) {
    const std::size_t entry_bytes = SizeOf(sealed.entry);
    const kernel::Instant expires_at = now + sealed.expires_in;
    // A repeated part brings the same entries, as a sealed ledger never
    // changes.
    const bool is_new =
        ledger.entries
            .emplace(sealed.sequence,
                     HeldEntry{std::move(sealed.entry), expires_at})
            .second;
    if (!is_new) continue;
    ledger.bytes += entry_bytes;
    this->bytes += entry_bytes;
    ledger.last_expires_at = std::max(ledger.last_expires_at, expires_at);
  }
  return true;
}

std::optional<CallResult> HeldLedgers::ResultOfKey(
    kernel::Instant now, const IdempotencyKey& key,
    const CallDigest& digest) const {
  const auto ledger = this->ledgers.find({key.issuer, key.incarnation});
  if (ledger == this->ledgers.end()) return std::nullopt;
  const auto found = ledger->second.entries.find(key.sequence);
  if (found == ledger->second.entries.end()) return std::nullopt;
  if (found->second.expires_at <= now) return std::nullopt;
  return ResultOf(found->second.entry, key.nonce, digest);
}

std::vector<PeerIdentity> HeldLedgers::Issuers() const {
  std::vector<PeerIdentity> issuers;
  issuers.reserve(this->ledgers.size());
  for (const auto& [issuer, ledger] : this->ledgers) issuers.push_back(issuer);
  return issuers;
}

std::vector<SealedEntry> HeldLedgers::EntriesAfter(
    kernel::Instant now, const PeerIdentity& issuer, std::uint64_t after,
    std::size_t most_bytes) const {
  std::vector<SealedEntry> entries;
  const auto ledger = this->ledgers.find(issuer);
  if (ledger == this->ledgers.end()) return entries;
  const auto& held = ledger->second.entries;
  std::size_t part_bytes = 0;
  for (auto at = held.upper_bound(after); at != held.end(); ++at) {
    if (at->second.expires_at <= now) continue;
    part_bytes += SizeOf(at->second.entry);
    if (!entries.empty() && part_bytes > most_bytes) break;
    entries.push_back({at->first, at->second.entry,
                       std::chrono::duration_cast<std::chrono::milliseconds>(
                           at->second.expires_at - now)});
  }
  return entries;
}

void HeldLedgers::Expire(kernel::Instant now) {
  std::erase_if(this->ledgers, [this, now](const auto& entry) {
    if (entry.second.last_expires_at > now) return false;
    this->bytes -= entry.second.bytes;
    return true;
  });
}

}  // namespace burdockwheel::ownership
