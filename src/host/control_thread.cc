#include "host/control_thread.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "host/peer_port.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

constexpr std::size_t kInboxCapacity = 1024;
constexpr std::chrono::milliseconds kPublishPeriod{500};

membership::MembershipSettings MembershipSettingsOf(
    const settings::HostSettings& settings, model::Incarnation incarnation) {
  membership::MembershipSettings membership_settings;
  membership_settings.host = settings.host;
  membership_settings.incarnation = incarnation;
  membership_settings.address = PeerAddressOf(settings);
  membership_settings.failure_domain = settings.failure_domain;
  membership_settings.seed_addresses = settings.seed_peers;
  membership_settings.random_seed =
      settings.test.random_seed.value_or(std::random_device()());
  return membership_settings;
}

spread::SpreadSettings SpreadSettingsOf(const settings::HostSettings& settings,
                                        model::Incarnation incarnation) {
  spread::SpreadSettings spread_settings;
  spread_settings.host = settings.host;
  spread_settings.incarnation = incarnation;
  spread_settings.failure_domain = settings.failure_domain;
  spread_settings.random_seed =
      settings.test.random_seed.value_or(std::random_device()());
  return spread_settings;
}

}  // namespace

ControlThread::ControlThread(const settings::HostSettings& settings,
                             model::Incarnation incarnation, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      membership(this->context, MembershipSettingsOf(settings, incarnation),
                 this->MembershipHooks()),
      watcher(this->context, settings.platform, this->WatcherHooks()),
      spread(this->context, SpreadSettingsOf(settings, incarnation),
             this->watcher, this->SpreadHooks()),
      inbox(kInboxCapacity, this->context,
            [this](const ControlMessage& message) { this->Take(message); }),
      peer_inbox(kInboxCapacity, this->context,
                 [this](const peer::PeerMessage& message) {
                   this->TakePeerMessage(message);
                 }),
      publish_timer(this->context),
      farewell_timer(this->context) {}

ControlThread::~ControlThread() = default;

void ControlThread::Run() {
  this->Publish();
  this->membership.Start();
  this->watcher.Start();
  this->spread.Start();
  this->context.run();
  this->hooks.on_stopped();
}

void ControlThread::Stop() { this->context.stop(); }

void ControlThread::Take(const ControlMessage& message) {
  std::visit([this](const auto& concrete) { this->Take(concrete); }, message);
}

void ControlThread::Take(std::monostate /*nothing*/) {}

void ControlThread::Take(const engine::ShareCrashSuspicion& message) {
  membership::CrashHint hint;
  hint.fingerprint = message.fingerprint;
  hint.service = message.service;
  hint.worker = message.worker;
  hint.crashes = message.crashes;
  this->membership.Notify(membership::CrashHintRaised{std::move(hint)});
}

void ControlThread::Take(const StopAnnounced& /*message*/) {
  this->spread.Notify(spread::LeaveBegun());
  this->membership.Notify(membership::LeaveBegun());
}

// The peers are to learn of the end before the process is gone.
void ControlThread::Take(const LedgerHandedOver& message) {
  this->membership.Notify(membership::LeaveEnded{message.holders});
  this->farewell_timer.expires_after(membership::MembershipTable::kFarewell);
  this->farewell_timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) this->context.stop();
      });
}

void ControlThread::TakePeerMessage(const peer::PeerMessage& message) {
  this->NoticeTime();
  if (message.kind == peer::MessageKind::kHeartbeat) {
    this->membership.TakeHeartbeat(message.body);
    return;
  }
  const auto* sender =
      this->membership.Table().Members().FindOrNull(message.sender_incarnation);
  if (sender == nullptr) return;
  this->spread.TakeMessage(message, sender->entry.address);
}

void ControlThread::OnHosts(const platform::HostList& list) {
  this->TellServing(WorkersChanged{list.workers});
  membership::HostsListed event;
  for (const auto& host : list.entry_hosts) {
    if (host.id == this->settings.host) continue;
    event.hosts.push_back({host.peer_address, host.is_leaving});
  }
  this->membership.Notify(event);
}

MembershipRunner::Hooks ControlThread::MembershipHooks() {
  MembershipRunner::Hooks membership_hooks;
  membership_hooks.send_heartbeat = [this](const std::string& address,
                                           const std::string& body) {
    // A heartbeat that is dropped here is as one lost by the network.
    static_cast<void>(
        this->hooks.send_to_peer(address, peer::MessageKind::kHeartbeat, body));
  };
  membership_hooks.peers_changed = [this](PeersChanged message) {
    this->TellServing(std::move(message));
  };
  membership_hooks.peer_left = [this](const ownership::PeerLeft& message) {
    this->TellServing(message);
  };
  membership_hooks.crash_suspected =
      [this](const engine::CrashSuspected& message) {
        this->TellServing(message);
      };
  membership_hooks.stamp_heard = [this](const membership::StampHeard& heard) {
    this->spread.Notify(heard);
  };
  membership_hooks.member_changed =
      [this](const membership::MemberChanged& changed) {
        this->spread.Notify(changed);
      };
  membership_hooks.pause_detected =
      [this](const membership::PauseDetected& pause) {
        this->spread.Notify(pause);
      };
  membership_hooks.contact_regained = [this] {
    this->spread.Notify(membership::ContactRegained());
  };
  membership_hooks.record_change = this->hooks.record_change;
  return membership_hooks;
}

PlatformWatcher::Hooks ControlThread::WatcherHooks() {
  PlatformWatcher::Hooks watcher_hooks;
  watcher_hooks.on_hosts = [this](const platform::HostList& list) {
    this->OnHosts(list);
  };
  return watcher_hooks;
}

SpreadRunner::Hooks ControlThread::SpreadHooks() {
  SpreadRunner::Hooks spread_hooks;
  spread_hooks.notice_time = [this] { this->NoticeTime(); };
  spread_hooks.send = [this](const std::string& address, peer::MessageKind kind,
                             const std::string& body) {
    // A message that is dropped here is as one lost by the network.
    static_cast<void>(this->hooks.send_to_peer(address, kind, body));
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

// The membership sees a pause of this process in the gap of the clock. It must
// see it before anything is decided from what was held before the pause.
void ControlThread::NoticeTime() {
  this->membership.Notify(membership::TimerFired());
}

void ControlThread::TellServing(ServingMessage message) {
  if (this->hooks.tell_serving(std::move(message))) return;
  telemetry::LogEvent(telemetry::LogLevel::kError, "serving-inbox-full", {});
}

void ControlThread::Publish() {
  ControlSnapshot snapshot;
  snapshot.view = this->View();
  snapshot.metrics = this->Metrics();
  this->hooks.publish_snapshot(std::move(snapshot));
  this->publish_timer.expires_after(kPublishPeriod);
  this->publish_timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) this->Publish();
      });
}

std::string ControlThread::View() const {
  nlohmann::ordered_json view;
  view["configuration_version"] =
      this->spread.Spread().Acceptor().Stamp().version;
  view["hosts_generation"] = this->watcher.HostsGeneration();
  view["local_health"] = this->membership.Table().LocalHealth();
  view["has_contact"] = this->membership.Table().HasContact();
  auto members = nlohmann::ordered_json::array();
  for (const auto& [incarnation, member] :
       this->membership.Table().Members().All()) {
    members.push_back(
        {{"host", member.entry.host.value},
         {"address", member.entry.address},
         {"failure_domain", member.entry.failure_domain.value},
         {"state", membership::MemberStateName(member.entry.state)},
         {"configuration_version", member.stamp.version}});
  }
  view["members"] = std::move(members);
  return view.dump();
}

std::string ControlThread::Metrics() const {
  std::string text;
  const auto append = [&text](const char* name, std::uint64_t value) {
    text.append("burdockwheel_").append(name).append(" ");
    text.append(std::to_string(value)).append("\n");
  };
  append("configuration_version",
         this->spread.Spread().Acceptor().Stamp().version);
  append("platform_reads_total", this->watcher.ReadCount());
  append("heartbeats_sent_total", this->membership.HeartbeatsSent());
  append("heartbeat_bytes_sent_total", this->membership.HeartbeatBytesSent());
  append("configuration_bytes_sent_total", this->spread.BytesSent());
  append("is_configuration_watcher",
         this->spread.Spread().IsWatching() ? 1 : 0);
  append("members_present", this->membership.Table().Members().PresentCount());
  append("local_health",
         static_cast<std::uint64_t>(this->membership.Table().LocalHealth()));
  return text;
}

}  // namespace burdockwheel::host
