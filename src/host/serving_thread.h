// The thread that serves callers.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <variant>
#include <vector>

#include "configuration/adjusted_value.h"
#include "engine/actions.h"
#include "host/admin_server.h"
#include "host/call_executor.h"
#include "host/call_gateway.h"
#include "host/call_journal.h"
#include "host/call_resolver.h"
#include "host/control_messages.h"
#include "host/keyed_calls.h"
#include "host/serving_metrics.h"
#include "host/thread_inbox.h"
#include "http/caller_listener.h"
#include "http/deadline_queue.h"
#include "http/worker_pool.h"
#include "kernel/result.h"
#include "model/caller_limits.h"
#include "ownership/pause_detector.h"
#include "peer/peer_message.h"
#include "settings/host_settings.h"

namespace burdockwheel::host {

// Owns the sockets of callers and workers and every decision on a call. Its
// methods other than Inbox() are called on the thread that runs the context.
class ServingThread {
 public:
  struct Hooks {
    std::function<void(const engine::RecordChange&)> record_change;
    std::function<void(const engine::ShareCrashSuspicion&)> share_suspicion;
    std::function<void(const load::LoadShare&)> share_load;
    std::function<void(const ReadinessShown&)> show_readiness;
    std::function<void(ServingReport)> publish_report;
    // Sends to a peer; false if the message was dropped at once.
    std::function<bool(const std::string& address, peer::MessageKind kind,
                       std::string body)>
        send_to_peer;
    // Told when a planned stop begins.
    std::function<void()> announce_stop;
    // Told at a planned stop who holds the ledger.
    std::function<void(std::vector<model::HostId>)> announce_holders;
  };

  ServingThread(const settings::HostSettings& settings,
                model::Incarnation incarnation, Hooks hooks);
  ~ServingThread();

  // Opens the address for callers.
  kernel::Result<std::monostate, http::ListenFailure> TryListen();

  // Serves until the planned stop is complete.
  void Run();

  // Begins the planned stop; may be called on any thread. Readiness goes false
  // at once, so that the platform's balancer looks elsewhere, and calls that
  // may last longer than the stop are refused; after the announcement time new
  // connections are; the process ends when every call in flight has ended, or
  // when the longest wait is over.
  void BeginStop();

  // Takes the settings that may change while the host runs: the times of the
  // planned stop and the rate of log lines. May be called on any thread.
  void Reload(const settings::HostSettings& changed);

  // Lets publish_report be called; may be called on any thread.
  void RequestReport();

  // Where the control thread puts its messages.
  ThreadInbox<ServingMessage>& Inbox() { return this->inbox; }

  // Where the transport's thread puts the messages of peers.
  ThreadInbox<peer::PeerMessage>& PeerInbox() { return this->peer_inbox; }

 private:
  void Handle(const std::shared_ptr<http::Exchange>& exchange);
  void NoticePause();
  void EndSuspension();
  void Take(ServingMessage message);
  void Take(std::monostate nothing);
  void Take(const ConfigurationChanged& message);
  void Take(WorkersChanged message);
  void Take(const ReadinessTold& message);
  void Take(PeersChanged message);
  void Take(const ownership::PeerLeft& message);
  void Take(const engine::CrashSuspected& message);
  void Take(const engine::PeerLoadReceived& message);
  // Logs the limits that this host does not grant in full.
  void SetCallerLimits(const model::CallerLimits& callers);
  void OnHandedOver(const std::vector<model::HostId>& holders);
  http::SessionHooks SessionHooks();
  KeyedCalls::Hooks KeyedHooks();
  CallGateway::Hooks GatewayHooks();
  void TickLater();
  void Tick();
  void ShowReadiness();
  void AnnounceStop();
  void RefuseNewCalls();
  void StopWhenIdle();
  std::string View() const;
  std::string Metrics() const;

  settings::HostSettings settings;
  Hooks hooks;
  boost::asio::io_context context{1};
  std::unique_ptr<const http::MessageConventions> conventions;
  http::DeadlineQueue deadlines;
  http::WorkerPool pool;
  ServingMetrics metrics;
  CallJournal journal;
  CallResolver resolver;
  CallExecutor executor;
  // None without peer keys.
  std::unique_ptr<KeyedCalls> keyed_calls;
  CallGateway gateway;
  http::BodyBudget body_budget;
  http::DeliveryBudget delivery_budget;
  http::CallerListener listener;
  ThreadInbox<ServingMessage> inbox;
  ThreadInbox<peer::PeerMessage> peer_inbox;
  boost::asio::steady_timer tick_timer;
  boost::asio::steady_timer stop_timer;
  kernel::Instant stop_deadline;
  std::size_t calls_cut = 0;  // by the end of the stop
  bool has_workers = false;
  bool was_ready = false;  // as shown last
  std::vector<configuration::AdjustedValue> lowered_limits;
  bool is_configuration_sound = false;
  ownership::PauseDetector pause_detector;
  kernel::Instant suspended_until;
  bool is_stopping = false;
  bool is_handed_over = false;
};

}  // namespace burdockwheel::host
