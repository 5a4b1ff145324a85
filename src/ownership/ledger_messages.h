// The messages by which a sealed ledger is handed over and asked.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "model/identifiers.h"
#include "ownership/forwarded_call.h"
#include "ownership/ledger_entry.h"
#include "ownership/ownership_events.h"

namespace burdockwheel::ownership {

// Some entries of a sealed ledger (kLedgerPart). Each stands for itself: a
// holder that lacks a part answers for the others.
struct LedgerPart {
  PeerIdentity issuer;
  std::uint64_t index = 0;  // of the part, in the life of its sender
  std::vector<SealedEntry> entries;
};

// Asks a holder for the result of a call (kLedgerQuery).
struct LedgerQuery {
  ForwardId request;
  std::string key;
  CallDigest digest;
};

// A holder's replies (kLedgerAnswer).
struct PartTaken {
  std::uint64_t index = 0;
};
struct KeyNotHeld {
  ForwardId request;
};
struct KeyHeld {
  ForwardId request;
  CallResult result;
};
struct LedgerAnswer {
  model::Incarnation asker;  // the life of the host that asked
  std::variant<PartTaken, KeyNotHeld, KeyHeld> content;
};

std::string EncodeLedgerPart(const LedgerPart& part);
kernel::Result<LedgerPart, ForwardDecodeFailure> DecodeLedgerPart(
    std::string_view bytes);

std::string EncodeLedgerQuery(const LedgerQuery& query);
kernel::Result<LedgerQuery, ForwardDecodeFailure> DecodeLedgerQuery(
    std::string_view bytes);

std::string EncodeLedgerAnswer(const LedgerAnswer& answer);
kernel::Result<LedgerAnswer, ForwardDecodeFailure> DecodeLedgerAnswer(
    std::string_view bytes);

}  // namespace burdockwheel::ownership
