#include "ownership/ownership_coordinator.h"

#include <algorithm>
#include <optional>
#include <string>
#include <utility>
#include <vector>

#include "ownership/held_ledgers.h"
#include "ownership/key_issuer.h"
#include "ownership/ledger_handover.h"
#include "ownership/ledger_messages.h"
#include "ownership/peer_directory.h"
#include "ownership/pending_calls.h"

namespace burdockwheel::ownership {

namespace {

using model::Refusal;
using model::RefusalReason;
using model::RunState;
using peer::MessageKind;

constexpr std::size_t kFieldOverhead = 16;  // of msgpack, at most

std::size_t SizeOf(const ForwardedCall& call) {
  std::size_t size = call.key.size() + call.method.size() + call.target.size() +
                     call.body.size() + call.caller.size();
  for (const auto& [name, value] : call.headers)
    size += kFieldOverhead + name.size() + value.size();
  return size;
}

// A key of a later release may have run; what no release issues has not.
RunState RunStateOf(KeyParseFailure failure) {
  return failure == KeyParseFailure::kUnsupportedVersion ? RunState::kUnknown
                                                         : RunState::kNotRun;
}

}  // namespace

class OwnershipCoordinator::Implementation {
 public:
  explicit Implementation(const OwnershipSettings& settings)
      : settings(settings),
        directory(settings.self),
        pending(settings, directory),
        issuer(settings),
        handover(settings,
                 [this](kernel::Instant now, const PeerIdentity& issuer,
                        std::uint64_t after, std::size_t most_bytes) {
                   return this->EntriesAfter(now, issuer, after, most_bytes);
                 }),
        held(settings.most_held_bytes) {}

  void Handle(kernel::Instant now, const KeyWanted& event, Actions& actions) {
    this->issuer.Issue(now, event, actions);
  }

  void Handle(kernel::Instant now, const CallWithKey& event, Actions& actions) {
    const auto parsed = ParseIdempotencyKey(event.payload.key);
    if (!parsed.HasValue()) {
      Refuse(event.call, RefusalReason::kKeyUnrecognized,
             RunStateOf(parsed.Failure()), actions);
      return;
    }
    // The refusals below say nothing of earlier sends of the call.
    if (SizeOf(event.payload) > kMostForwardedBytes) {
      Refuse(event.call, RefusalReason::kBodyTooLarge, RunState::kUnknown,
             actions);
      return;
    }
    if (this->pending.IsFull()) {
      Refuse(event.call, RefusalReason::kOverloaded, RunState::kUnknown,
             actions);
      return;
    }
    this->Decide(now, event, parsed.Value(), actions);
  }

  void Handle(kernel::Instant /*now*/, const CallerGone& event,
              Actions& /*actions*/) {
    this->pending.Forget(event.call);
  }

  void Handle(kernel::Instant now, const PeerMessageArrived& event,
              Actions& actions) {
    switch (event.message.kind) {
      case MessageKind::kForwardCall:
        return this->HandleForwardedCall(now, event.message, actions);
      case MessageKind::kForwardAnswer:
        return this->HandleForwardReply(now, event.message, actions);
      case MessageKind::kLedgerPart:
        return this->HandleLedgerPart(now, event.message, actions);
      case MessageKind::kLedgerQuery:
        return this->HandleLedgerQuery(now, event.message, actions);
      case MessageKind::kLedgerAnswer:
        return this->HandleLedgerAnswer(now, event.message, actions);
      default:
        return;
    }
  }

  void Handle(kernel::Instant now, const PeerSendFailed& event,
              Actions& actions) {
    this->pending.HandleSendFailed(now, event, actions);
  }

  void Handle(kernel::Instant now, const RunEnded& event, Actions& actions) {
    for (const Waiter& waiter : this->issuer.EndRun(now, event))
      this->Tell(waiter, event.result, actions);
    this->HandOverIfIdle(now, actions);
  }

  void Handle(kernel::Instant now, const TimerFired& /*event*/,
              Actions& actions) {
    this->announced_wake.reset();
    this->pending.HandleTimer(now, actions);
    if (this->handover.HasBegun()) this->handover.HandleTimer(now, actions);
  }

  void Handle(kernel::Instant now, const PeersAlive& event, Actions& actions) {
    this->directory.SetAlive(event.peers);
    this->pending.HandleDirectoryChange(now, actions);
  }

  void Handle(kernel::Instant now, const PeerLeft& event, Actions& actions) {
    this->directory.NoteLeft(event);
    this->pending.HandleDirectoryChange(now, actions);
  }

  void Handle(kernel::Instant now, const PauseNoticed& /*event*/,
              Actions& actions) {
    this->issuer.NotePause(now);
    actions.emplace_back(RecordChange{"keys", "running", "distrusting-input",
                                      "pause-noticed", ""});
  }

  void Handle(kernel::Instant now, const StopBegun& /*event*/,
              Actions& actions) {
    if (this->issuer.Ledger().IsSealed()) return;
    this->issuer.Seal();
    actions.emplace_back(RecordChange{
        "ledger", "open", "sealed", "planned-stop",
        "keys=" + std::to_string(this->issuer.Ledger().KeyCount()) +
            " runs=" + std::to_string(this->issuer.Ledger().RunsInFlight())});
    this->HandOverIfIdle(now, actions);
  }

  OwnershipGauges Gauges() const {
    const KeyLedger& ledger = this->issuer.Ledger();
    return {ledger.KeyCount(), ledger.RunsInFlight(), ledger.AnswerBytes(),
            this->held.Bytes(), this->pending.Count()};
  }

  // Asks to be woken if the time to be woken at has changed.
  void AnnounceWake(Actions& actions) {
    std::optional<kernel::Instant> next = this->pending.NextWake();
    const auto handover_wake = this->handover.NextWake();
    if (handover_wake.has_value())
      next = std::min(next.value_or(*handover_wake), *handover_wake);
    if (!next.has_value() || next == this->announced_wake) return;
    this->announced_wake = next;
    actions.emplace_back(WakeAt{*next});
  }

 private:
  static void Refuse(model::CallId call, RefusalReason reason,
                     RunState run_state, Actions& actions) {
    actions.push_back(AnswerWith(call, Refusal{reason, run_state}));
  }

  bool IsOwn(const IdempotencyKey& key) const {
    if (key.issuer != this->settings.self.host) return false;
    return key.incarnation == this->settings.self.incarnation ||
           !this->settings.IsOn(Protection::kOwnIncarnationOnly);
  }

  void Decide(kernel::Instant now, const CallWithKey& event,
              const IdempotencyKey& key, Actions& actions) {
    if (this->IsOwn(key)) {
      this->pending.AddLocal(event.call, event.deadline);
      auto result = this->Use(now, key, event.payload, event.deadline,
                              event.call, actions);
      if (result.has_value())
        this->pending.Resolve(event.call, std::move(*result), actions);
      return;
    }
    auto held_result =
        this->held.ResultOfKey(now, key, DigestOf(event.payload));
    if (held_result.has_value()) {
      actions.push_back(AnswerWith(event.call, std::move(*held_result)));
      return;
    }
    this->pending.AddForeign(now, event, key, actions);
  }

  std::optional<CallResult> Use(kernel::Instant now, const IdempotencyKey& key,
                                const ForwardedCall& payload,
                                kernel::Instant deadline, const Waiter& waiter,
                                Actions& actions) {
    if (key.incarnation != this->settings.self.incarnation) {
      // Only reached with Protection::kOwnIncarnationOnly switched off.
      actions.emplace_back(RunCall{RunId{key.sequence}, payload, deadline});
      return Refusal{RefusalReason::kKeyOwnerLost, RunState::kUnknown};
    }
    return this->issuer.Use(now, key, payload, deadline, waiter, actions);
  }

  void Tell(const Waiter& waiter, const CallResult& result, Actions& actions) {
    if (const auto* call = std::get_if<model::CallId>(&waiter)) {
      this->pending.Resolve(*call, result, actions);
      return;
    }
    const auto& remote = std::get<RemoteWaiter>(waiter);
    std::string body =
        EncodeForwardReply({remote.peer.incarnation, remote.request, result});
    if (body.size() > kMostForwardedBytes)
      body = EncodeForwardReply(
          {remote.peer.incarnation, remote.request,
           Refusal{RefusalReason::kAnswerNotKept, RunState::kUnknown}});
    actions.emplace_back(SendToPeer{remote.peer.host,
                                    MessageKind::kForwardAnswer,
                                    std::move(body), ForwardId{}});
  }

  void HandleForwardedCall(kernel::Instant now,
                           const peer::PeerMessage& message, Actions& actions) {
    auto decoded = DecodeForwardedCall(message.body);
    if (!decoded.HasValue()) return;
    const ForwardedCall& call = decoded.Value();
    const Waiter waiter = RemoteWaiter{
        {message.sender, message.sender_incarnation}, call.request};
    const auto key = ParseIdempotencyKey(call.key);
    if (!key.HasValue() || !this->IsOwn(key.Value())) {
      this->Tell(waiter,
                 Refusal{RefusalReason::kKeyOwnerLost, RunState::kUnknown},
                 actions);
      return;
    }
    const auto result = this->Use(now, key.Value(), call, now + call.remaining,
                                  waiter, actions);
    if (result.has_value()) this->Tell(waiter, *result, actions);
  }

  bool IsOwnRequest(model::Incarnation asker) const {
    return asker == this->settings.self.incarnation ||
           !this->settings.IsOn(Protection::kAskerNamed);
  }

  void HandleForwardReply(kernel::Instant now, const peer::PeerMessage& message,
                          Actions& actions) {
    auto decoded = DecodeForwardReply(message.body);
    if (!decoded.HasValue()) return;
    if (!this->IsOwnRequest(decoded.Value().asker)) return;
    this->pending.HandleReply(now, message.sender, std::move(decoded).Value(),
                              actions);
  }

  void HandleLedgerPart(kernel::Instant now, const peer::PeerMessage& message,
                        Actions& actions) {
    auto decoded = DecodeLedgerPart(message.body);
    if (!decoded.HasValue()) return;
    // A host that stops has no time left to hold what it has not passed on.
    if (this->issuer.Ledger().IsSealed()) return;
    const std::uint64_t index = decoded.Value().index;
    if (!this->held.TryTake(now, std::move(decoded).Value())) return;
    SendLedgerAnswer(message, PartTaken{index}, actions);
  }

  void HandleLedgerQuery(kernel::Instant now, const peer::PeerMessage& message,
                         Actions& actions) {
    const auto decoded = DecodeLedgerQuery(message.body);
    if (!decoded.HasValue()) return;
    const LedgerQuery& query = decoded.Value();
    const auto key = ParseIdempotencyKey(query.key);
    if (!key.HasValue()) return;
    auto result = this->held.ResultOfKey(now, key.Value(), query.digest);
    if (!result.has_value()) {
      SendLedgerAnswer(message, KeyNotHeld{query.request}, actions);
      return;
    }
    SendLedgerAnswer(message, KeyHeld{query.request, std::move(*result)},
                     actions);
  }

  template <typename Content>
  static void SendLedgerAnswer(const peer::PeerMessage& asked, Content content,
                               Actions& actions) {
    const LedgerAnswer answer{asked.sender_incarnation, std::move(content)};
    actions.emplace_back(SendToPeer{asked.sender, MessageKind::kLedgerAnswer,
                                    EncodeLedgerAnswer(answer), ForwardId{}});
  }

  void HandleLedgerAnswer(kernel::Instant now, const peer::PeerMessage& message,
                          Actions& actions) {
    auto decoded = DecodeLedgerAnswer(message.body);
    if (!decoded.HasValue()) return;
    if (!this->IsOwnRequest(decoded.Value().asker)) return;
    auto& content = decoded.Value().content;
    if (const auto* taken = std::get_if<PartTaken>(&content))
      this->handover.HandlePartTaken(now, message.sender, taken->index,
                                     actions);
    if (const auto* not_held = std::get_if<KeyNotHeld>(&content))
      this->pending.HandleNotHeld(message.sender, not_held->request, actions);
    if (auto* key_held = std::get_if<KeyHeld>(&content))
      this->pending.HandleHeld(message.sender, std::move(*key_held), actions);
  }

  void HandOverIfIdle(kernel::Instant now, Actions& actions) {
    const KeyLedger& ledger = this->issuer.Ledger();
    if (!ledger.IsSealed() || ledger.RunsInFlight() > 0) return;
    if (this->handover.HasBegun()) return;
    std::vector<LedgerAssignment> ledgers;
    const auto assign = [this, &ledgers](const PeerIdentity& owner) {
      ledgers.push_back({owner, this->directory.ChooseHolders(
                                    owner, this->settings.ledger_holders)});
    };
    assign(this->settings.self);
    for (const PeerIdentity& owner : this->held.Issuers()) assign(owner);
    this->handover.Begin(now, ledgers, actions);
  }

  std::vector<SealedEntry> EntriesAfter(kernel::Instant now,
                                        const PeerIdentity& owner,
                                        std::uint64_t after,
                                        std::size_t most_bytes) const {
    if (owner == this->settings.self)
      return this->issuer.Ledger().EntriesAfter(now, after, most_bytes);
    return this->held.EntriesAfter(now, owner, after, most_bytes);
  }

  OwnershipSettings settings;
  PeerDirectory directory;
  PendingCalls pending;
  KeyIssuer issuer;
  LedgerHandover handover;
  HeldLedgers held;
  std::optional<kernel::Instant> announced_wake;
};

OwnershipCoordinator::OwnershipCoordinator(const OwnershipSettings& settings)
    : implementation(std::make_unique<Implementation>(settings)) {}

OwnershipCoordinator::~OwnershipCoordinator() = default;

void OwnershipCoordinator::Handle(kernel::Instant now, const Event& event,
                                  Actions& actions) {
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->implementation->Handle(now, concrete, actions);
      },
      event);
  this->implementation->AnnounceWake(actions);
}

OwnershipGauges OwnershipCoordinator::Gauges() const {
  return this->implementation->Gauges();
}

}  // namespace burdockwheel::ownership
