#include <boost/asio/post.hpp>
#include <chrono>
#include <utility>

#include "host/control_thread.h"

namespace burdockwheel::host {

namespace {

// How long after a pause nothing is passed on for others: several times as long
// as the messages that have waited take to read.
constexpr std::chrono::milliseconds kRelayRest{500};

}  // namespace

MembershipRunner::Hooks ControlThread::MembershipHooks() {
  MembershipRunner::Hooks membership_hooks;
  membership_hooks.send_heartbeat = [this](const std::string& address,
                                           const std::string& body) {
    this->SendToPeer(address, peer::MessageKind::kHeartbeat, body);
  };
  membership_hooks.peers_changed = [this](PeersChanged message) {
    this->TellReader(message);
    this->TellServing(std::move(message));
  };
  membership_hooks.peer_left = [this](const ownership::PeerLeft& message) {
    this->TellServing(message);
  };
  membership_hooks.crash_suspected =
      [this](const engine::CrashSuspected& message) {
        this->TellServing(message);
      };
  membership_hooks.stamp_heard =
      [this](const membership::StampReceived& heard) {
        this->spread.Notify(heard);
      };
  membership_hooks.member_changed =
      [this](const membership::MemberChanged& changed) {
        this->domain_of[changed.entry.address] = changed.entry.failure_domain;
        this->spread.Notify(changed);
      };
  membership_hooks.pause_detected =
      [this](const membership::PauseDetected& pause) {
        this->relays_from = std::chrono::steady_clock::now() + kRelayRest;
        this->spread.Notify(pause);
        // Later, since the reading of the platform may be what noticed it.
        boost::asio::post(this->context, [this] {
          this->publication.Notify(publication::PauseEnded());
        });
      };
  membership_hooks.contact_regained = [this] {
    this->spread.Notify(membership::ContactEstablished());
  };
  membership_hooks.record_change = this->hooks.record_change;
  return membership_hooks;
}

PublicationRunner::Hooks ControlThread::PublicationHooks() {
  PublicationRunner::Hooks publication_hooks;
  publication_hooks.notice_time = [this] { this->NoticeTime(); };
  publication_hooks.configuration_published =
      [this](const publication::PublishedConfiguration& published) {
        this->spread.Notify(spread::DocumentPublished{published.document});
      };
  publication_hooks.workers_listed =
      [this](std::vector<model::WorkerRecord> workers) {
        this->TellServing(WorkersChanged{std::move(workers)});
      };
  publication_hooks.send_update = [this](const std::string& body) {
    this->SendToPeers(peer::MessageKind::kPublicationUpdate, body, false);
  };
  publication_hooks.send_beacon = [this](const std::string& body,
                                         bool is_wide) {
    this->SendBeacon(body, is_wide);
  };
  return publication_hooks;
}

SpreadRunner::Hooks ControlThread::SpreadHooks() {
  SpreadRunner::Hooks spread_hooks;
  spread_hooks.notice_time = [this] { this->NoticeTime(); };
  spread_hooks.send = [this](const std::string& address, peer::MessageKind kind,
                             const std::string& body) {
    this->SendToPeer(address, kind, body);
  };
  spread_hooks.in_force =
      [this](std::shared_ptr<const ConfigurationInForce> in_force,
             const configuration::ConfigurationStamp& stamp) {
        this->TellServing(ConfigurationChanged{std::move(in_force)});
        // Later, since the membership may be what led to this.
        boost::asio::post(this->context, [this, stamp] {
          this->membership.Notify(membership::StampChanged{stamp});
        });
      };
  spread_hooks.readiness_changed = [this](bool is_ready) {
    this->TellServing(ReadinessTold{is_ready});
  };
  spread_hooks.record_change = this->hooks.record_change;
  return spread_hooks;
}

}  // namespace burdockwheel::host
