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
      signals(this->admin_context, SIGTERM, SIGINT, SIGHUP),
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
      control(settings, this->incarnation, this->ControlHooks()) {}

EntryHost::~EntryHost() = default;

ServingThread::Hooks EntryHost::ServingHooks() {
  ServingThread::Hooks hooks;
  hooks.record_change = [this](const engine::RecordChange& change) {
    this->RecordChange(change);
  };
  // A message that finds the ring full is followed by another, or its reader
  // goes on with the one before.
  hooks.show_readiness = [this](const ReadinessShown& readiness) {
    static_cast<void>(this->admin_inbox_of_serving.TryPush(readiness));
  };
  hooks.publish_report = [this](ServingReport report) {
    static_cast<void>(this->admin_inbox_of_serving.TryPush(std::move(report)));
  };
  hooks.send_to_peer = [this](const std::string& address,
                              peer::MessageKind kind, std::string body) {
    return this->control.Inbox().TryPush(
        PeerMessageToSend{address, kind, std::move(body)});
  };
  hooks.share_load = [this](const load::LoadShare& share) {
    this->TellControl(share);
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
  hooks.tell_serving_of_peer = [this](peer::PeerMessage message) {
    return this->serving.PeerInbox().TryPush(std::move(message));
  };
  if (this->settings.has_test_hooks) {
    hooks.should_drop = [this](const std::string& address) {
      return this->cut_links.IsCut(address);
    };
  }
  hooks.record_change = [this](const engine::RecordChange& change) {
    this->RecordChange(change);
  };
  hooks.publish_report = [this](ControlReport report) {
    // The admin thread goes on with the one before if its ring is full.
    static_cast<void>(this->admin_inbox_of_control.TryPush(std::move(report)));
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
  if (this->settings.metrics_listen) {
    const auto address = this->settings.metrics_listen->Text();
    if (!this->admin.TryListenForMetrics(address).HasValue())
      return StartFailure{"metrics_listen", address};
  }
  const auto caller_result = this->serving.TryListen();
  if (!caller_result.HasValue()) {
    return StartFailure{"caller_listen", this->settings.caller_listen.Text()};
  }
  if (!this->control.TryListen().HasValue()) {
    return StartFailure{"peer_listen", this->settings.peer_listen.Text()};
  }
  return std::monostate();
}

void EntryHost::Run(SettingsReader read_settings) {
  this->read_settings = std::move(read_settings);
  telemetry::LogEvent(telemetry::LogLevel::kInfo, "started",
                      {{"incarnation", this->incarnation.value},
                       {"caller_listen", this->settings.caller_listen.Text()},
                       {"admin_listen", this->settings.admin_listen.Text()}});
  this->AwaitSignal();
  std::thread admin_thread([this] { this->admin_context.run(); });
  std::thread control_thread([this] { this->control.Run(); });
  this->serving.Run();
  control_thread.join();
  admin_thread.join();
}

void EntryHost::AwaitSignal() {
  this->signals.async_wait(
      [this](const boost::system::error_code& error, int signal) {
        if (error) return;
        if (signal == SIGHUP) {
          this->Reload();
        } else {
          this->serving.BeginStop();
        }
        this->AwaitSignal();
      });
}

void EntryHost::Reload() {
  const auto changed = this->read_settings();
  if (!changed) {
    telemetry::LogEvent(telemetry::LogLevel::kError, "reload",
                        {{"outcome", "refused-invalid"}});
    return;
  }
  telemetry::SetLowestLevel(changed->log_level);
  this->control.SetSeeds(changed->seed_peers);
  this->serving.Reload(*changed);
  telemetry::LogEvent(
      telemetry::LogLevel::kInfo, "reload",
      {{"outcome", "taken"},
       {"seeds", static_cast<std::int64_t>(changed->seed_peers.size())},
       {"announce_ms", changed->stop.announce.count()}});
}

AdminServer::Hooks EntryHost::AdminHooks() {
  AdminServer::Hooks hooks;
  hooks.request_reports = [this] {
    this->serving.RequestReport();
    this->control.RequestReport();
  };
  if (!this->settings.has_test_hooks) return hooks;
  hooks.cut_links = [this](std::set<std::string> addresses) {
    this->cut_links.Replace(std::move(addresses));
  };
  return hooks;
}

void EntryHost::TakeAdminMessage(AdminMessage message) {
  if (const auto* readiness = std::get_if<ReadinessShown>(&message))
    this->admin.Update(*readiness);
  if (auto* report = std::get_if<ServingReport>(&message))
    this->admin.Update(std::move(*report));
  if (auto* report = std::get_if<ControlReport>(&message))
    this->admin.Update(std::move(*report));
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
