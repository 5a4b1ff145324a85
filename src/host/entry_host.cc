#include "host/entry_host.h"

#include <sodium.h>

#include <algorithm>
#include <csignal>
#include <thread>
#include <utility>

#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

constexpr std::size_t kAdminInboxCapacity = 64;

model::Incarnation NewIncarnation() {
  model::Incarnation incarnation;
  randombytes_buf(&incarnation.value, sizeof(incarnation.value));
  return incarnation;
}

}  // namespace

EntryHost::EntryHost(const settings::HostSettings& settings)
    : settings(settings),
      incarnation(NewIncarnation()),
      audit(static_cast<std::size_t>(settings.audit_entries)),
      cut_links(
          {settings.test.cut_peers.begin(), settings.test.cut_peers.end()}),
      signals(this->admin_context, SIGTERM, SIGINT),
      admin(this->admin_context, this->audit, this->AdminHooks()),
      admin_inbox_of_serving(kAdminInboxCapacity, this->admin_context,
                             [this](AdminMessage message) {
                               this->TakeAdminMessage(std::move(message));
                             }),
      admin_inbox_of_control(kAdminInboxCapacity, this->admin_context,
                             [this](AdminMessage message) {
                               this->TakeAdminMessage(std::move(message));
                             }),
      serving(settings, this->incarnation, this->ServingHooks()),
      control(settings, this->incarnation, this->ControlHooks()),
      peer_port(settings, this->incarnation, this->PeerHooks()) {}

EntryHost::~EntryHost() = default;

ServingThread::Hooks EntryHost::ServingHooks() {
  ServingThread::Hooks hooks;
  hooks.record_change = [this](const engine::RecordChange& change) {
    this->RecordChange(change);
  };
  hooks.publish_snapshot = [this](ServingSnapshot snapshot) {
    // A snapshot that finds the ring full is followed by another.
    static_cast<void>(
        this->admin_inbox_of_serving.TryPush(std::move(snapshot)));
  };
  hooks.send_to_peer = [this](const std::string& address,
                              peer::MessageKind kind, std::string body) {
    return this->peer_port.TrySend(address, kind, std::move(body));
  };
  hooks.share_suspicion = [this](const engine::ShareCrashSuspicion& message) {
    this->TellControl(message);
  };
  hooks.announce_stop = [this] { this->TellControl(StopAnnounced()); };
  hooks.announce_holders = [this](const std::vector<model::HostId>& holders) {
    this->TellControl(LedgerHandedOver{holders});
  };
  return hooks;
}

ControlThread::Hooks EntryHost::ControlHooks() {
  ControlThread::Hooks hooks;
  hooks.tell_serving = [this](ServingMessage message) {
    return this->serving.Inbox().TryPush(std::move(message));
  };
  hooks.send_to_peer = [this](const std::string& address,
                              peer::MessageKind kind, std::string body) {
    return this->peer_port.TrySend(address, kind, std::move(body));
  };
  hooks.record_change = [this](const engine::RecordChange& change) {
    this->RecordChange(change);
  };
  hooks.publish_snapshot = [this](ControlSnapshot snapshot) {
    // A snapshot that finds the ring full is followed by another.
    static_cast<void>(
        this->admin_inbox_of_control.TryPush(std::move(snapshot)));
  };
  hooks.on_stopped = [this] { this->admin_context.stop(); };
  return hooks;
}

void EntryHost::TellControl(ControlMessage message) {
  if (this->control.Inbox().TryPush(std::move(message))) return;
  telemetry::LogEvent(telemetry::LogLevel::kError, "control-inbox-full", {});
}

kernel::Result<std::monostate, StartFailure> EntryHost::TryStart() {
  const auto admin_result =
      this->admin.TryListen(this->settings.admin_listen.Text());
  if (!admin_result.HasValue()) {
    return StartFailure{"admin_listen", this->settings.admin_listen.Text()};
  }
  const auto caller_result = this->serving.TryListen();
  if (!caller_result.HasValue()) {
    return StartFailure{"caller_listen", this->settings.caller_listen.Text()};
  }
  if (!this->peer_port.TryOpen().HasValue()) {
    return StartFailure{"peer_listen", this->settings.peer_listen.Text()};
  }
  return std::monostate();
}

void EntryHost::Run() {
  telemetry::LogEvent(telemetry::LogLevel::kInfo, "started",
                      {{"host", this->settings.host.value},
                       {"caller_listen", this->settings.caller_listen.Text()},
                       {"admin_listen", this->settings.admin_listen.Text()}});
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int /*signal*/) {
        if (!error) this->serving.BeginStop();
      });
  std::thread admin_thread([this] { this->admin_context.run(); });
  std::thread control_thread([this] { this->control.Run(); });
  this->serving.Run();
  control_thread.join();
  admin_thread.join();
}

AdminServer::Hooks EntryHost::AdminHooks() {
  AdminServer::Hooks hooks;
  if (!this->settings.has_test_hooks) return hooks;
  hooks.cut_links = [this](std::set<std::string> addresses) {
    this->cut_links.Replace(std::move(addresses));
  };
  return hooks;
}

PeerPort::Hooks EntryHost::PeerHooks() {
  PeerPort::Hooks hooks;
  hooks.receive = [this](peer::PeerMessage message) {
    this->TakePeerMessage(std::move(message));
  };
  if (this->settings.has_test_hooks) {
    hooks.should_drop = [this](const std::string& address) {
      return this->cut_links.IsCut(address);
    };
  }
  return hooks;
}

// Runs on the transport's thread.
void EntryHost::TakePeerMessage(peer::PeerMessage message) {
  switch (message.kind) {
    case peer::MessageKind::kForwardCall:
    case peer::MessageKind::kForwardAnswer:
    case peer::MessageKind::kLedgerPart:
    case peer::MessageKind::kLedgerQuery:
    case peer::MessageKind::kLedgerAnswer:
      // A message lost here is as one lost by the network.
      static_cast<void>(this->serving.PeerInbox().TryPush(std::move(message)));
      return;
    case peer::MessageKind::kHeartbeat:
    case peer::MessageKind::kConfigurationOffer:
    case peer::MessageKind::kConfigurationRequest:
    case peer::MessageKind::kConfigurationPart:
    case peer::MessageKind::kCrashSuspicion:
      static_cast<void>(this->control.PeerInbox().TryPush(std::move(message)));
      return;
  }
}

void EntryHost::TakeAdminMessage(AdminMessage message) {
  if (auto* snapshot = std::get_if<ServingSnapshot>(&message)) {
    this->admin.Update(std::move(*snapshot));
  }
  if (auto* snapshot = std::get_if<ControlSnapshot>(&message)) {
    this->admin.Update(std::move(*snapshot));
  }
}

void EntryHost::RecordChange(const engine::RecordChange& change) {
  telemetry::AuditEntry entry;
  entry.subject = change.subject;
  entry.from = change.from;
  entry.to = change.to;
  entry.cause = change.cause;
  entry.evidence = change.evidence;
  this->audit.Record(std::move(entry));
}

}  // namespace burdockwheel::host
