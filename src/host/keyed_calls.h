// Runs the keyed calls of a host: feeds the ownership coordinator and does what
// it decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <deque>
#include <functional>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "host/call_executor.h"
#include "host/call_gateway.h"
#include "host/call_resolver.h"
#include "host/call_submission.h"
#include "kernel/result.h"
#include "model/identifiers.h"
#include "ownership/ownership_actions.h"
#include "ownership/ownership_coordinator.h"
#include "ownership/ownership_events.h"
#include "ownership/ownership_settings.h"
#include "ownership/pause_detector.h"
#include "peer/peer_message.h"

namespace burdockwheel::host {

// Joins the pure ownership coordinator with the executor, the peers and the
// clock. Runs on the serving thread.
class KeyedCalls {
 public:
  struct Hooks {
    // Sends to a peer; false if the message was dropped at once.
    std::function<bool(const std::string& address, peer::MessageKind kind,
                       std::string body)>
        send;
    std::function<void(const ownership::RecordChange&)> record_change;
    // Told once, at the end of the planned stop.
    std::function<void(std::vector<model::HostId> holders)> on_handed_over;
  };

  // Where peers are reached.
  using PeerAddresses = std::map<model::HostId, std::string>;
  // Takes a new key, or why there is none.
  using KeyCompletion =
      std::function<void(kernel::Result<std::string, model::Refusal>)>;

  KeyedCalls(boost::asio::io_context& context,
             const ownership::OwnershipSettings& settings,
             CallResolver& resolver, CallExecutor& executor, Hooks hooks);

  // Issues a key, at once or later.
  void IssueKey(KeyCompletion on_complete);

  // Sees to a call with a key; `on_complete` is called once.
  void Run(KeyedCall call, CallCompletion on_complete);

  void UpdatePeers(PeerAddresses addresses,
                   std::vector<ownership::PeerIdentity> alive);

  // Hands any other event to the coordinator.
  void Notify(ownership::Event event);

 private:
  void HandleWaiting();
  void Do(const ownership::RunCall& action);
  void Do(const ownership::AnswerCaller& action);
  void Do(const ownership::GiveKey& action);
  void Do(const ownership::SendToPeer& action);
  void Do(const ownership::WakeAt& action);
  void Do(const ownership::RecordChange& action);
  void Do(const ownership::HandOverEnded& action);
  void TickForPauses();
  model::CallId NextCall();

  boost::asio::steady_timer timer;
  ownership::OwnershipCoordinator coordinator;
  CallResolver& resolver;
  CallExecutor& executor;
  Hooks hooks;
  boost::asio::steady_timer pause_tick;
  ownership::PauseDetector pause_detector;
  PeerAddresses peers;
  std::deque<ownership::Event> waiting;
  ownership::Actions actions;
  bool is_handling = false;
  model::CallId last_call;
  std::unordered_map<model::CallId, CallCompletion> calls;
  std::unordered_map<model::CallId, KeyCompletion> key_requests;
};

}  // namespace burdockwheel::host
