// The issuer's side: the ledger, and those who wait for its runs.
#pragma once

#include <map>
#include <optional>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "model/identifiers.h"
#include "ownership/key_ledger.h"
#include "ownership/ownership_actions.h"
#include "ownership/ownership_events.h"
#include "ownership/ownership_settings.h"

namespace burdockwheel::ownership {

// A peer that forwarded a call and waits for the reply.
struct RemoteWaiter {
  PeerIdentity peer;
  ForwardId request;

  friend bool operator==(const RemoteWaiter&, const RemoteWaiter&) = default;
};

// A caller of this host, or a peer.
using Waiter = std::variant<model::CallId, RemoteWaiter>;

class KeyIssuer {
 public:
  explicit KeyIssuer(const OwnershipSettings& settings);

  // Gives the caller a key, or tells it why there is none.
  void Issue(kernel::Instant now, const KeyWanted& wanted, Actions& actions);

  // Decides on a call whose key names this incarnation. Returns its result, or
  // nothing if the waiter is to wait for a run, which may have been started.
  std::optional<CallResult> Use(kernel::Instant now, const IdempotencyKey& key,
                                ForwardedCall payload, kernel::Instant deadline,
                                const Waiter& waiter, Actions& actions);

  // Records how a run ended and returns those who waited for it.
  std::vector<Waiter> EndRun(kernel::Instant now, const RunEnded& ended);

  // Closes calls that come for the first time as not-run for a while.
  void NotePause(kernel::Instant now);

  void Seal() { this->ledger.Seal(); }

  const KeyLedger& Ledger() const { return this->ledger; }

 private:
  std::optional<CallResult> AddWaiter(RunId run, const Waiter& waiter);

  OwnershipSettings settings;
  KeyLedger ledger;
  bool is_exhausted = false;
  kernel::Instant distrusted_until;
  std::map<RunId, std::vector<Waiter>> waiters;
};

}  // namespace burdockwheel::ownership
