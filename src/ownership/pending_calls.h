// The entry host's side: callers that wait for a result.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <utility>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "ownership/forwarded_call.h"
#include "ownership/ledger_messages.h"
#include "ownership/ownership_actions.h"
#include "ownership/ownership_settings.h"
#include "ownership/peer_directory.h"

namespace burdockwheel::ownership {

// Asks the issuer of a key, or the holders of its ledger, and gives each caller
// one result by its deadline. What it decides by itself is always "unknown".
class PendingCalls {
 public:
  // `directory` must outlive this object.
  PendingCalls(const OwnershipSettings& settings,
               const PeerDirectory& directory);

  bool IsFull() const;
  std::size_t Count() const { return this->calls.size(); }

  // Notes a call that waits for a run of this host.
  void AddLocal(model::CallId call, kernel::Instant deadline);

  // Takes a call whose key another incarnation issued and asks for its result.
  void AddForeign(kernel::Instant now, const CallWithKey& call,
                  const IdempotencyKey& key, Actions& actions);

  // Gives the caller its result, if it still waits.
  void Resolve(model::CallId call, CallResult result, Actions& actions);

  void Forget(model::CallId call);

  // `sender` replied to a forwarded call.
  void HandleReply(kernel::Instant now, const model::HostId& sender,
                   ForwardReply reply, Actions& actions);
  // `sender`, a possible holder, replied to a query.
  void HandleHeld(const model::HostId& sender, KeyHeld held, Actions& actions);
  void HandleNotHeld(const model::HostId& sender, ForwardId request,
                     Actions& actions);

  void HandleSendFailed(kernel::Instant now, const PeerSendFailed& failed,
                        Actions& actions);
  // The directory has changed: asks holders where the issuer is gone.
  void HandleDirectoryChange(kernel::Instant now, Actions& actions);
  void HandleTimer(kernel::Instant now, Actions& actions);

  std::optional<kernel::Instant> NextWake() const;

 private:
  enum class Stage { kLocalRun, kForwarded, kAskingHolders };
  struct PendingCall {
    Stage stage = Stage::kLocalRun;
    kernel::Instant deadline;
    IdempotencyKey key;
    ForwardedCall payload;
    int sends = 0;  // to the issuer
    // The issuer was seen alive when it was asked.
    bool is_issuer_seen = false;
    std::set<model::HostId> silent_holders;
    kernel::Instant next_step_at;
    kernel::Instant wake_at;
  };
  using Pending = std::map<model::CallId, PendingCall>;

  void Schedule(Pending::iterator pending);
  void Erase(Pending::iterator pending);
  Pending::iterator FindRequest(ForwardId request, Stage stage);
  void AskIssuer(kernel::Instant now, Pending::iterator pending,
                 Actions& actions);
  void AskHolders(kernel::Instant now, Pending::iterator pending,
                  Actions& actions);
  void RemoveHolder(const model::HostId& holder, Pending::iterator pending,
                    Actions& actions);
  void GiveUp(Pending::iterator pending, model::RefusalReason reason,
              Actions& actions);
  void Step(kernel::Instant now, Pending::iterator pending, Actions& actions);

  OwnershipSettings settings;
  const PeerDirectory& directory;
  std::uint64_t last_request = 0;
  Pending calls;
  std::map<ForwardId, model::CallId> requests;
  std::set<std::pair<kernel::Instant, model::CallId>> timers;
};

}  // namespace burdockwheel::ownership
