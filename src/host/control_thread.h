// The thread that keeps a host's knowledge of the deployment up to date.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

#include "host/admin_server.h"
#include "host/control_messages.h"
#include "host/membership_runner.h"
#include "host/platform_watcher.h"
#include "host/spread_runner.h"
#include "host/thread_inbox.h"
#include "model/identifiers.h"
#include "peer/peer_message.h"
#include "settings/host_settings.h"

namespace burdockwheel::host {

// Owns membership and the spread of configurations. Its methods other than the
// inboxes are called on the thread that runs it, unless they say otherwise.
class ControlThread {
 public:
  struct Hooks {
    // Hands a message to the serving thread; false if it cannot be taken now.
    std::function<bool(ServingMessage)> tell_serving;
    // Sends to a peer; false if the message was dropped at once.
    std::function<bool(const std::string& address, peer::MessageKind kind,
                       std::string body)>
        send_to_peer;
    std::function<void(const engine::RecordChange&)> record_change;
    std::function<void(ControlSnapshot)> publish_snapshot;
    std::function<void()> on_stopped;
  };

  ControlThread(const settings::HostSettings& settings,
                model::Incarnation incarnation, Hooks hooks);
  ~ControlThread();

  // Runs until the farewell that follows LedgerHandedOver, or Stop().
  void Run();

  // Ends the thread at once; may be called on any thread.
  void Stop();

  // Where the serving thread puts its messages.
  ThreadInbox<ControlMessage>& Inbox() { return this->inbox; }

  // Where the transport's thread puts the messages of peers.
  ThreadInbox<peer::PeerMessage>& PeerInbox() { return this->peer_inbox; }

 private:
  void Take(const ControlMessage& message);
  void Take(std::monostate nothing);
  void Take(const engine::ShareCrashSuspicion& message);
  void Take(const StopAnnounced& message);
  void Take(const LedgerHandedOver& message);
  void TakePeerMessage(const peer::PeerMessage& message);
  void OnHosts(const platform::HostList& list);
  MembershipRunner::Hooks MembershipHooks();
  PlatformWatcher::Hooks WatcherHooks();
  SpreadRunner::Hooks SpreadHooks();
  void NoticeTime();
  void TellServing(ServingMessage message);
  void Publish();
  std::string View() const;
  std::string Metrics() const;

  settings::HostSettings settings;
  Hooks hooks;
  boost::asio::io_context context{1};
  MembershipRunner membership;
  PlatformWatcher watcher;
  SpreadRunner spread;
  ThreadInbox<ControlMessage> inbox;
  ThreadInbox<peer::PeerMessage> peer_inbox;
  boost::asio::steady_timer publish_timer;
  boost::asio::steady_timer farewell_timer;
};

}  // namespace burdockwheel::host
