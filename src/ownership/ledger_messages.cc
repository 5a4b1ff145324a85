#include "ownership/ledger_messages.h"

#include <algorithm>
#include <array>
#include <memory>
#include <optional>
#include <utility>

#include "ownership/wire_forms.h"

namespace burdockwheel::ownership {

namespace {

constexpr std::size_t kMostEntriesOfPart = std::size_t{1} << 16U;
constexpr std::int64_t kMostExpiryMs = std::int64_t{24} * 3600 * 1000;

struct WireEntry {
  std::uint64_t sequence = 0;
  std::string nonce;
  std::uint8_t state = 0;
  std::string digest;  // empty if no call has come
  WireResult result;
  std::int64_t expires_in_ms = 0;

  MSGPACK_DEFINE(sequence, nonce, state, digest, result, expires_in_ms)
};

struct WirePart {
  std::string issuer;
  std::uint64_t issuer_incarnation = 0;
  std::uint64_t index = 0;
  std::vector<WireEntry> entries;

  MSGPACK_DEFINE(issuer, issuer_incarnation, index, entries)
};

struct WireQuery {
  std::uint64_t request = 0;
  std::string key;
  std::string digest;

  MSGPACK_DEFINE(request, key, digest)
};

enum class AnswerKind : std::uint8_t { kPartTaken, kKeyNotHeld, kKeyHeld };

struct WireAnswer {
  std::uint64_t asker = 0;
  std::uint8_t kind = 0;
  std::uint64_t number = 0;  // of the part or the request
  WireResult result;         // if kKeyHeld

  MSGPACK_DEFINE(asker, kind, number, result)
};

template <std::size_t kSize>
std::string TextOf(const std::array<unsigned char, kSize>& bytes) {
  return {bytes.begin(), bytes.end()};
}

template <std::size_t kSize>
bool TryCopy(const std::string& text, std::array<unsigned char, kSize>& bytes) {
  if (text.size() != kSize) return false;
  std::copy(text.begin(), text.end(), bytes.begin());
  return true;
}

WireEntry WireEntryOf(const SealedEntry& sealed) {
  WireEntry wire;
  wire.sequence = sealed.sequence;
  wire.nonce = TextOf(sealed.entry.nonce.bytes);
  wire.state = static_cast<std::uint8_t>(sealed.entry.state);
  if (sealed.entry.is_bound) wire.digest = TextOf(sealed.entry.digest.bytes);
  if (sealed.entry.state == EntryState::kAnswered)
    wire.result = WireResultOf(*sealed.entry.answer);
  if (sealed.entry.state == EntryState::kRefused)
    wire.result = WireResultOf(sealed.entry.refusal);
  wire.expires_in_ms = sealed.expires_in.count();
  return wire;
}

bool TrySetResult(WireResult wire, LedgerEntry& entry) {
  auto result = CallResultOf(std::move(wire));
  if (!result.has_value()) return false;
  if (auto* answer = std::get_if<ForwardedAnswer>(&*result)) {
    entry.answer = std::make_shared<const ForwardedAnswer>(std::move(*answer));
    return entry.state == EntryState::kAnswered;
  }
  entry.refusal = std::get<model::Refusal>(*result);
  return entry.state == EntryState::kRefused;
}

std::optional<SealedEntry> SealedEntryOf(WireEntry wire) {
  SealedEntry sealed;
  sealed.sequence = wire.sequence;
  LedgerEntry& entry = sealed.entry;
  if (!TryCopy(wire.nonce, entry.nonce.bytes)) return std::nullopt;
  entry.is_bound = !wire.digest.empty();
  if (entry.is_bound && !TryCopy(wire.digest, entry.digest.bytes))
    return std::nullopt;
  if (wire.state < static_cast<std::uint8_t>(EntryState::kAnswered) ||
      wire.state > static_cast<std::uint8_t>(EntryState::kRefused))
    return std::nullopt;
  entry.state = static_cast<EntryState>(wire.state);
  if (entry.state != EntryState::kAnswerNotKept &&
      !TrySetResult(std::move(wire.result), entry))
    return std::nullopt;
  if (wire.expires_in_ms < 0 || wire.expires_in_ms > kMostExpiryMs)
    return std::nullopt;
  sealed.expires_in = std::chrono::milliseconds(wire.expires_in_ms);
  return sealed;
}

}  // namespace

std::string EncodeLedgerPart(const LedgerPart& part) {
  WirePart wire;
  wire.issuer = part.issuer.host.value;
  wire.issuer_incarnation = part.issuer.incarnation.value;
  wire.index = part.index;
  for (const SealedEntry& entry : part.entries)
    wire.entries.push_back(WireEntryOf(entry));
  return peer::Pack(wire);
}

kernel::Result<LedgerPart, ForwardDecodeFailure> DecodeLedgerPart(
    std::string_view bytes) {
  peer::DecodeLimits limits;
  limits.most_elements = kMostEntriesOfPart;
  auto wire = peer::TryUnpack<WirePart>(bytes, limits);
  if (!wire.has_value()) return ForwardDecodeFailure::kMalformed;
  LedgerPart part;
  part.issuer = {{std::move(wire->issuer)}, {wire->issuer_incarnation}};
  part.index = wire->index;
  for (WireEntry& wire_entry : wire->entries) {
    auto entry = SealedEntryOf(std::move(wire_entry));
    if (!entry.has_value()) return ForwardDecodeFailure::kFieldOutOfRange;
    part.entries.push_back(std::move(*entry));
  }
  return part;
}

std::string EncodeLedgerQuery(const LedgerQuery& query) {
  WireQuery wire;
  wire.request = query.request.value;
  wire.key = query.key;
  wire.digest = TextOf(query.digest.bytes);
  return peer::Pack(wire);
}

kernel::Result<LedgerQuery, ForwardDecodeFailure> DecodeLedgerQuery(
    std::string_view bytes) {
  auto wire = peer::TryUnpack<WireQuery>(bytes);
  if (!wire.has_value()) return ForwardDecodeFailure::kMalformed;
  LedgerQuery query;
  query.request = {wire->request};
  query.key = std::move(wire->key);
  if (!TryCopy(wire->digest, query.digest.bytes))
    return ForwardDecodeFailure::kFieldOutOfRange;
  return query;
}

std::string EncodeLedgerAnswer(const LedgerAnswer& answer) {
  WireAnswer wire;
  wire.asker = answer.asker.value;
  wire.kind = static_cast<std::uint8_t>(answer.content.index());
  if (const auto* taken = std::get_if<PartTaken>(&answer.content))
    wire.number = taken->index;
  if (const auto* not_held = std::get_if<KeyNotHeld>(&answer.content))
    wire.number = not_held->request.value;
  if (const auto* held = std::get_if<KeyHeld>(&answer.content)) {
    wire.number = held->request.value;
    wire.result = WireResultOf(held->result);
  }
  return peer::Pack(wire);
}

kernel::Result<LedgerAnswer, ForwardDecodeFailure> DecodeLedgerAnswer(
    std::string_view bytes) {
  auto wire = peer::TryUnpack<WireAnswer>(bytes);
  if (!wire.has_value()) return ForwardDecodeFailure::kMalformed;
  const model::Incarnation asker{wire->asker};
  switch (static_cast<AnswerKind>(wire->kind)) {
    case AnswerKind::kPartTaken:
      return LedgerAnswer{asker, PartTaken{wire->number}};
    case AnswerKind::kKeyNotHeld:
      return LedgerAnswer{asker, KeyNotHeld{{wire->number}}};
    case AnswerKind::kKeyHeld: {
      auto result = CallResultOf(std::move(wire->result));
      if (!result.has_value()) return ForwardDecodeFailure::kFieldOutOfRange;
      return LedgerAnswer{asker, KeyHeld{{wire->number}, std::move(*result)}};
    }
  }
  return ForwardDecodeFailure::kFieldOutOfRange;
}

}  // namespace burdockwheel::ownership
