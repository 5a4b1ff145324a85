// Runs the membership of a host: feeds MembershipTable and does what it
// decides.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "engine/events.h"
#include "host/control_messages.h"
#include "membership/actions.h"
#include "membership/events.h"
#include "membership/membership_settings.h"
#include "membership/membership_table.h"
#include "ownership/ownership_events.h"

namespace burdockwheel::host {

// Joins the pure membership table with the clock, the peers and the threads
// that need to know who is there. Runs on the control thread.
class MembershipRunner {
 public:
  struct Hooks {
    std::function<void(const std::string& address, const std::string& body)>
        send_heartbeat;
    std::function<void(PeersChanged)> peers_changed;
    std::function<void(const ownership::PeerLeft&)> peer_left;
    std::function<void(const engine::CrashSuspected&)> crash_suspected;
    std::function<void(const membership::StampReceived&)> stamp_heard;
    std::function<void(const membership::MemberChanged&)> member_changed;
    std::function<void(const membership::PauseDetected&)> pause_detected;
    std::function<void()> contact_regained;
    std::function<void(const engine::RecordChange&)> record_change;
  };

  MembershipRunner(boost::asio::io_context& context,
                   const membership::MembershipSettings& settings, Hooks hooks);

  void Start();

  // Hands an event to the table.
  void Notify(const membership::Event& event);

  // Takes the body of a heartbeat that came from a peer.
  void TakeHeartbeat(const std::string& body);

  const membership::MembershipTable& Table() const { return this->table; }
  std::uint64_t HeartbeatsSent() const { return this->heartbeats_sent; }
  std::uint64_t HeartbeatBytesSent() const {
    return this->heartbeat_bytes_sent;
  }

 private:
  void Do(const membership::SendHeartbeat& action);
  void Do(const membership::MemberChanged& action);
  void Do(const membership::StampReceived& action);
  void Do(const membership::CrashHintReceived& action);
  void Do(const membership::PauseDetected& action);
  void Do(const membership::ContactEstablished& action);
  void Do(const membership::RecordChange& action);
  void Do(const membership::WakeAt& action);
  void PublishPeers();

  boost::asio::steady_timer timer;
  membership::MembershipTable table;
  Hooks hooks;
  std::uint64_t heartbeats_sent = 0;
  std::uint64_t heartbeat_bytes_sent = 0;
  bool has_new_peers = false;
};

}  // namespace burdockwheel::host
