#include "ownership/ledger_entry.h"

namespace burdockwheel::ownership {

namespace {

using model::RefusalReason;
using model::RunState;

constexpr std::size_t kFieldOverhead = 64;

}  // namespace

std::size_t SizeOf(const ForwardedAnswer& answer) {
  std::size_t size = kFieldOverhead + answer.body.size();
  for (const auto& [name, value] : answer.headers)
    size += kFieldOverhead + name.size() + value.size();
  return size;
}

CallResult ResultOf(const LedgerEntry& entry, const KeyNonce& nonce,
                    const CallDigest& digest) {
  if (!(entry.nonce == nonce))
    return model::Refusal{RefusalReason::kKeyUnrecognized, RunState::kNotRun};
  // A caller that altered its call may still ask of the first one: nothing is
  // said of that one's run.
  if (entry.is_bound && !(entry.digest == digest))
    return model::Refusal{RefusalReason::kKeyMismatch, RunState::kUnknown};
  if (entry.state == EntryState::kAnswered) return *entry.answer;
  if (entry.state == EntryState::kRefused) return entry.refusal;
  return model::Refusal{RefusalReason::kAnswerNotKept, RunState::kUnknown};
}

}  // namespace burdockwheel::ownership
