#include "ownership/pending_calls.h"

#include <algorithm>
#include <vector>

namespace burdockwheel::ownership {

namespace {

using model::RefusalReason;
using model::RunState;

constexpr int kMostSends = 3;
constexpr int kResendBackoff = 4;

// Marks the runs of a takeover, which only tests allow.
constexpr std::uint64_t kTakeoverRun = std::uint64_t{1} << 63U;

}  // namespace

PendingCalls::PendingCalls(const OwnershipSettings& settings,
                           const PeerDirectory& directory)
    : settings(settings), directory(directory) {}

bool PendingCalls::IsFull() const {
  return this->calls.size() >= this->settings.most_pending_calls;
}

void PendingCalls::AddLocal(model::CallId call, kernel::Instant deadline) {
  const auto pending = this->calls.emplace(call, PendingCall{}).first;
  pending->second.deadline = deadline;
  pending->second.next_step_at = deadline;
  this->Schedule(pending);
}

void PendingCalls::AddForeign(kernel::Instant now, const CallWithKey& call,
                              const IdempotencyKey& key, Actions& actions) {
  const auto pending = this->calls.emplace(call.call, PendingCall{}).first;
  PendingCall& state = pending->second;
  state.deadline = call.deadline;
  state.key = key;
  state.payload = call.payload;
  this->last_request += 1;
  state.payload.request = {this->last_request};
  this->requests.emplace(state.payload.request, call.call);

  // A view that shows another life of the issuer's host may be older than the
  // key, so the host itself is asked.
  const bool is_reachable =
      this->directory.AliveIncarnation(key.issuer).has_value() &&
      !this->directory.HasLeft({key.issuer, key.incarnation});
  if (is_reachable) {
    this->AskIssuer(now, pending, actions);
  } else {
    this->AskHolders(now, pending, actions);
  }
}

void PendingCalls::Resolve(model::CallId call, CallResult result,
                           Actions& actions) {
  const auto pending = this->calls.find(call);
  if (pending == this->calls.end()) return;
  actions.push_back(AnswerWith(call, std::move(result)));
  this->Erase(pending);
}

void PendingCalls::Forget(model::CallId call) {
  const auto pending = this->calls.find(call);
  if (pending != this->calls.end()) this->Erase(pending);
}

void PendingCalls::HandleReply(kernel::Instant now, const model::HostId& sender,
                               ForwardReply reply, Actions& actions) {
  const auto pending = this->FindRequest(reply.request, Stage::kForwarded);
  if (pending == this->calls.end()) return;
  if (pending->second.key.issuer != sender) return;
  const auto* refusal = std::get_if<model::Refusal>(&reply.result);
  if (refusal != nullptr && refusal->reason == RefusalReason::kKeyOwnerLost) {
    this->AskHolders(now, pending, actions);
    return;
  }
  this->Resolve(pending->first, std::move(reply.result), actions);
}

void PendingCalls::HandleHeld(const model::HostId& sender, KeyHeld held,
                              Actions& actions) {
  const auto pending = this->FindRequest(held.request, Stage::kAskingHolders);
  if (pending == this->calls.end()) return;
  if (!pending->second.silent_holders.contains(sender)) return;
  this->Resolve(pending->first, std::move(held.result), actions);
}

void PendingCalls::HandleNotHeld(const model::HostId& sender, ForwardId request,
                                 Actions& actions) {
  const auto pending = this->FindRequest(request, Stage::kAskingHolders);
  if (pending == this->calls.end()) return;
  this->RemoveHolder(sender, pending, actions);
}

void PendingCalls::HandleSendFailed(kernel::Instant /*now*/,
                                    const PeerSendFailed& failed,
                                    Actions& actions) {
  const auto found = this->requests.find(failed.request);
  if (found == this->requests.end()) return;
  const auto pending = this->calls.find(found->second);
  if (pending->second.stage == Stage::kAskingHolders) {
    this->RemoveHolder(failed.peer, pending, actions);
    return;
  }
  // A resend was dropped; the first send may still be answered.
  if (pending->second.sends > 1) return;
  // An earlier try of the caller may have reached the issuer.
  this->GiveUp(pending, RefusalReason::kKeyOwnerUnreachable, actions);
}

void PendingCalls::HandleDirectoryChange(kernel::Instant now,
                                         Actions& actions) {
  for (auto at = this->calls.begin(); at != this->calls.end();) {
    const auto pending = at++;
    const PendingCall& state = pending->second;
    if (state.stage != Stage::kForwarded) continue;
    const auto alive = this->directory.AliveIncarnation(state.key.issuer);
    const bool is_seen = alive == state.key.incarnation;
    const bool is_gone =
        !alive.has_value() || (state.is_issuer_seen && !is_seen) ||
        this->directory.HasLeft({state.key.issuer, state.key.incarnation});
    if (is_gone) this->AskHolders(now, pending, actions);
  }
}

void PendingCalls::HandleTimer(kernel::Instant now, Actions& actions) {
  while (!this->timers.empty() && this->timers.begin()->first <= now)
    this->Step(now, this->calls.find(this->timers.begin()->second), actions);
}

std::optional<kernel::Instant> PendingCalls::NextWake() const {
  if (this->timers.empty()) return std::nullopt;
  return this->timers.begin()->first;
}

void PendingCalls::Schedule(Pending::iterator pending) {
  PendingCall& state = pending->second;
  this->timers.erase({state.wake_at, pending->first});
  state.wake_at = std::min(state.deadline, state.next_step_at);
  this->timers.emplace(state.wake_at, pending->first);
}

void PendingCalls::Erase(Pending::iterator pending) {
  this->timers.erase({pending->second.wake_at, pending->first});
  this->requests.erase(pending->second.payload.request);
  this->calls.erase(pending);
}

PendingCalls::Pending::iterator PendingCalls::FindRequest(ForwardId request,
                                                          Stage stage) {
  const auto found = this->requests.find(request);
  if (found == this->requests.end()) return this->calls.end();
  const auto pending = this->calls.find(found->second);
  if (pending->second.stage != stage) return this->calls.end();
  return pending;
}

void PendingCalls::AskIssuer(kernel::Instant now, Pending::iterator pending,
                             Actions& actions) {
  PendingCall& state = pending->second;
  state.stage = Stage::kForwarded;
  if (this->directory.AliveIncarnation(state.key.issuer) ==
      state.key.incarnation)
    state.is_issuer_seen = true;
  const auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
      state.deadline - now);
  state.payload.remaining = std::max(left, std::chrono::milliseconds(0));
  state.next_step_at = state.deadline;
  auto resend_after = this->settings.forward_resend_after;
  for (int send = 0; send < state.sends; ++send) resend_after *= kResendBackoff;
  state.sends += 1;
  if (state.sends < kMostSends) state.next_step_at = now + resend_after;
  actions.emplace_back(
      SendToPeer{state.key.issuer, peer::MessageKind::kForwardCall,
                 EncodeForwardedCall(state.payload), state.payload.request});
  this->Schedule(pending);
}

void PendingCalls::AskHolders(kernel::Instant now, Pending::iterator pending,
                              Actions& actions) {
  PendingCall& state = pending->second;
  const std::vector<model::HostId> holders = this->directory.PossibleHolders(
      {state.key.issuer, state.key.incarnation}, this->settings.ledger_holders);
  if (holders.empty()) {
    this->GiveUp(pending, RefusalReason::kKeyOwnerLost, actions);
    return;
  }
  state.stage = Stage::kAskingHolders;
  state.next_step_at = now + this->settings.holder_timeout;
  LedgerQuery query;
  query.request = state.payload.request;
  query.key = state.payload.key;
  query.digest = DigestOf(state.payload);
  const std::string body = EncodeLedgerQuery(query);
  for (const model::HostId& holder : holders) {
    state.silent_holders.insert(holder);
    actions.emplace_back(SendToPeer{holder, peer::MessageKind::kLedgerQuery,
                                    body, query.request});
  }
  this->Schedule(pending);
}

void PendingCalls::RemoveHolder(const model::HostId& holder,
                                Pending::iterator pending, Actions& actions) {
  pending->second.silent_holders.erase(holder);
  if (!pending->second.silent_holders.empty()) return;
  this->GiveUp(pending, RefusalReason::kKeyOwnerLost, actions);
}

// Precondition: the call is a foreign one, or past its deadline.
void PendingCalls::GiveUp(Pending::iterator pending, RefusalReason reason,
                          Actions& actions) {
  PendingCall& state = pending->second;
  const bool is_foreign = state.stage != Stage::kLocalRun;
  if (is_foreign && !this->settings.IsOn(Protection::kNoTakeover))
    actions.emplace_back(
        RunCall{RunId{state.payload.request.value | kTakeoverRun},
                state.payload, state.deadline});
  this->Resolve(pending->first, model::Refusal{reason, RunState::kUnknown},
                actions);
}

void PendingCalls::Step(kernel::Instant now, Pending::iterator pending,
                        Actions& actions) {
  const PendingCall& state = pending->second;
  if (state.stage == Stage::kAskingHolders) {
    this->GiveUp(pending, RefusalReason::kKeyOwnerLost, actions);
    return;
  }
  if (state.deadline > now) {
    this->AskIssuer(now, pending, actions);
    return;
  }
  this->GiveUp(pending,
               state.stage == Stage::kForwarded
                   ? RefusalReason::kKeyOwnerUnreachable
                   : RefusalReason::kDeadlineExceeded,
               actions);
}

}  // namespace burdockwheel::ownership
