#include "host/control_thread.h"

#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "configuration/configuration_fault.h"
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

}  // namespace

ControlThread::ControlThread(const settings::HostSettings& settings,
                             model::Incarnation incarnation, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      membership(this->context, MembershipSettingsOf(settings, incarnation),
                 this->MembershipHooks()),
      watcher(this->context, settings.platform, this->WatcherHooks()),
      inbox(kInboxCapacity, this->context,
            [this](const ControlMessage& message) { this->Take(message); }),
      peer_inbox(kInboxCapacity, this->context,
                 [this](const peer::PeerMessage& message) {
                   this->TakePeerMessage(message);
                 }),
      retry_timer(this->context),
      publish_timer(this->context),
      farewell_timer(this->context) {}

ControlThread::~ControlThread() = default;

void ControlThread::Run() {
  this->Publish();
  this->membership.Start();
  this->watcher.Start();
  this->WatchConfiguration();
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
  if (message.kind != peer::MessageKind::kHeartbeat) return;
  this->membership.TakeHeartbeat(message.body);
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
  membership_hooks.stamp_heard = [](const membership::StampHeard& /*heard*/) {};
  membership_hooks.pause_detected = [](std::chrono::milliseconds /*length*/) {};
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

// FIXME: Each host watches the service by itself; the spread between peers
// takes this place.
void ControlThread::WatchConfiguration() {
  constexpr std::chrono::milliseconds kWatchTime{10'000};
  this->watcher.ReadConfiguration(
      this->acceptor.Stamp().version, kWatchTime, [this](const auto& result) {
        if (!result.HasValue()) {
          this->retry_timer.expires_after(std::chrono::milliseconds(500));
          this->retry_timer.async_wait(
              [this](const boost::system::error_code& error) {
                if (!error) this->WatchConfiguration();
              });
          return;
        }
        const auto& value = result.Value();
        if (!value.is_unchanged) this->OnConfigurationText(value.text);
        this->WatchConfiguration();
      });
}

void ControlThread::OnConfigurationText(const std::string& text) {
  const auto record = this->acceptor.Offer(
      text, {configuration::ConfigurationSource::Kind::kService, ""});
  this->RecordAcceptance(record);
  if (!configuration::IsAccepted(record.verdict)) return;
  this->membership.Notify(membership::StampChanged{this->acceptor.Stamp()});
  this->TellServing(
      ConfigurationChanged{std::make_shared<const ConfigurationInForce>(
          this->acceptor.CurrentOrNull())});
}

void ControlThread::RecordAcceptance(
    const configuration::AcceptanceRecord& record) {
  const bool is_news =
      record.verdict != configuration::AcceptanceVerdict::kUnchanged &&
      !record.is_repeated;
  if (!is_news) return;
  engine::RecordChange change;
  change.subject = "configuration";
  change.from = std::to_string(record.before.version);
  change.to = std::to_string(configuration::IsAccepted(record.verdict)
                                 ? record.offered.version
                                 : record.before.version);
  change.cause = configuration::AcceptanceVerdictName(record.verdict);
  change.evidence = "source=" + record.source.Text() +
                    " offered=" + std::to_string(record.offered.version);
  if (!record.faults.empty()) {
    change.evidence +=
        " fault=" + configuration::FaultMessage(record.faults.front());
  }
  this->hooks.record_change(change);
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
  view["configuration_version"] = this->acceptor.Stamp().version;
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
  append("configuration_version", this->acceptor.Stamp().version);
  append("platform_reads_total", this->watcher.ReadCount());
  append("heartbeats_sent_total", this->membership.HeartbeatsSent());
  append("heartbeat_bytes_sent_total", this->membership.HeartbeatBytesSent());
  append("members_present", this->membership.Table().Members().PresentCount());
  append("local_health",
         static_cast<std::uint64_t>(this->membership.Table().LocalHealth()));
  return text;
}

}  // namespace burdockwheel::host
