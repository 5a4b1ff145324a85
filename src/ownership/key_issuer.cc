#include "ownership/key_issuer.h"

#include <algorithm>
#include <string>
#include <utility>

namespace burdockwheel::ownership {

KeyIssuer::KeyIssuer(const OwnershipSettings& settings)
    : settings(settings), ledger(settings) {}

void KeyIssuer::Issue(kernel::Instant now, const KeyWanted& wanted,
                      Actions& actions) {
  const auto issued = this->ledger.TryIssue(now, wanted.nonce);
  const bool was_exhausted = this->is_exhausted;
  this->is_exhausted =
      !issued.HasValue() &&
      issued.Failure().reason == model::RefusalReason::kKeysExhausted;
  if (this->is_exhausted != was_exhausted) {
    actions.emplace_back(
        RecordChange{"keys", was_exhausted ? "exhausted" : "issuing",
                     was_exhausted ? "issuing" : "exhausted",
                     was_exhausted ? "key-expired" : "ledger-full",
                     "keys=" + std::to_string(this->ledger.KeyCount())});
  }
  if (issued.HasValue()) {
    actions.emplace_back(
        GiveKey{wanted.call, IdempotencyKeyText(issued.Value())});
    return;
  }
  actions.push_back(AnswerWith(wanted.call, issued.Failure()));
}

std::optional<CallResult> KeyIssuer::Use(
    kernel::Instant now, const IdempotencyKey& key, ForwardedCall payload,
    kernel::Instant deadline, const Waiter& waiter, Actions& actions) {
  const RunId run{key.sequence};
  if (now < this->distrusted_until) deadline = now;
  LedgerDecision decision =
      this->ledger.Use(now, key, DigestOf(payload), deadline);
  if (auto* result = std::get_if<CallResult>(&decision))
    return std::move(*result);
  if (std::holds_alternative<JoinRun>(decision))
    return this->AddWaiter(run, waiter);
  this->waiters[run].push_back(waiter);
  actions.emplace_back(RunCall{run, std::move(payload), deadline});
  return std::nullopt;
}

void KeyIssuer::NotePause(kernel::Instant now) {
  this->distrusted_until = now + this->settings.distrust_after_pause;
}

std::vector<Waiter> KeyIssuer::EndRun(kernel::Instant now,
                                      const RunEnded& ended) {
  this->ledger.EndRun(now, ended.run.value, ended.result);
  const auto found = this->waiters.find(ended.run);
  if (found == this->waiters.end()) return {};
  std::vector<Waiter> waiting = std::move(found->second);
  this->waiters.erase(found);
  return waiting;
}

std::optional<CallResult> KeyIssuer::AddWaiter(RunId run,
                                               const Waiter& waiter) {
  std::vector<Waiter>& waiting = this->waiters[run];
  // A call that was forwarded twice is answered once.
  if (std::find(waiting.begin(), waiting.end(), waiter) != waiting.end())
    return std::nullopt;
  if (waiting.size() >= this->settings.ledger.most_waiters_each)
    return model::Refusal{model::RefusalReason::kOverloaded,
                          model::RunState::kUnknown, std::chrono::seconds(1)};
  waiting.push_back(waiter);
  return std::nullopt;
}

}  // namespace burdockwheel::ownership
