// The thread that keeps a host's knowledge of the deployment up to date.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "host/admin_server.h"
#include "host/control_messages.h"
#include "host/membership_runner.h"
#include "host/peer_port.h"
#include "host/peer_traffic.h"
#include "host/publication_runner.h"
#include "host/spread_runner.h"
#include "host/thread_inbox.h"
#include "kernel/instant.h"
#include "load/relay_rotation.h"
#include "model/identifiers.h"
#include "peer/peer_message.h"
#include "settings/host_settings.h"
#include "telemetry/latency_histogram.h"

namespace burdockwheel::host {

// Owns membership and the spread of configurations. Its methods other than the
// inboxes are called on the thread that runs it, unless they say otherwise.
class ControlThread {
 public:
  struct Hooks {
    // Hands a message to the serving thread; false if it cannot be taken now.
    std::function<bool(ServingMessage)> tell_serving;
    // Hands the serving thread a peer's message; false as above.
    std::function<bool(peer::PeerMessage)> tell_serving_of_peer;
    // Tells whether messages to an address are dropped; empty outside of tests.
    std::function<bool(const std::string& address)> should_drop;
    std::function<void(const engine::RecordChange&)> record_change;
    std::function<void(ControlReport)> publish_report;
    std::function<void()> on_stopped;
  };

  ControlThread(const settings::HostSettings& settings,
                model::Incarnation incarnation, Hooks hooks);
  ~ControlThread();

  // Opens the address for peers; before Run.
  kernel::Result<std::monostate, peer::TransportFailure> TryListen();

  // Runs until the farewell that follows LedgerHandedOver, or Stop().
  void Run();

  // Takes other seeds; may be called on any thread.
  void SetSeeds(std::vector<std::string> addresses);

  // Lets publish_report be called; may be called on any thread.
  void RequestReport();

  // Ends the thread at once; may be called on any thread.
  void Stop();

  // Where the serving thread puts its messages.
  ThreadInbox<ControlMessage>& Inbox() { return this->inbox; }

 private:
  void Take(const ControlMessage& message);
  void Take(std::monostate nothing);
  void Take(const engine::ShareCrashSuspicion& message);
  void Take(const StopAnnounced& message);
  void Take(const LedgerHandedOver& message);
  void Take(const PeerMessageToSend& message);
  void Take(const load::LoadShare& message);
  // Takes a host that is not gone, and whether it is of the own domain.
  using PeerVisitor =
      std::function<void(const membership::MemberEntry& entry, bool is_near)>;

  void ForEachPeer(const PeerVisitor& visit) const;
  // One entry for each other failure domain's hosts that are not gone.
  std::vector<load::RelayCandidate> FarPeers() const;
  // Where it is wide and heartbeats seldom cross, a few hosts of each other
  // domain get it and pass it on.
  void SendBeacon(const std::string& body, bool is_wide);
  // Passes a beacon from another domain on to the hosts of the own one.
  void RelayBeacon(const peer::PeerMessage& message);
  void TakeBeacon(const std::string& body, model::Incarnation sender);
  // Passes a digest from another domain on to the hosts of the own one.
  void RelayDigest(const std::string& body);
  // To the hosts of the own failure domain, or to all if it is wide.
  void SendToPeers(peer::MessageKind kind, const std::string& body,
                   bool is_wide);
  void TellReader(const PeersChanged& message);
  void SendToPeer(const std::string& address, peer::MessageKind kind,
                  std::string body);
  void TakePeerMessage(const peer::PeerMessage& message);
  MembershipRunner::Hooks MembershipHooks();
  PublicationRunner::Hooks PublicationHooks();
  SpreadRunner::Hooks SpreadHooks();
  void NoticeTime();
  void TellServing(ServingMessage message);
  void MeasureLag();
  std::string View() const;
  std::string Metrics() const;

  settings::HostSettings settings;
  Hooks hooks;
  boost::asio::io_context context{1};
  MembershipRunner membership;
  PublicationRunner publication;
  SpreadRunner spread;
  PeerPort peer_port;
  ThreadInbox<ControlMessage> inbox;
  boost::asio::steady_timer lag_timer;
  telemetry::LatencyHistogram loop_lag;
  load::RelayRotation relays;
  load::RelayRotation beacon_relays;
  // The failure domains of all members by their addresses.
  std::unordered_map<std::string, model::FailureDomain> domain_of;
  PeerTraffic peer_traffic;
  kernel::Instant relays_from;
  boost::asio::steady_timer leave_announcement_timer;
};

}  // namespace burdockwheel::host
