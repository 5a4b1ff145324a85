// A whole entry host: its threads and what joins them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <functional>
#include <optional>
#include <string>
#include <variant>

#include "host/admin_server.h"
#include "host/control_thread.h"
#include "host/cut_links.h"
#include "host/serving_thread.h"
#include "host/thread_inbox.h"
#include "kernel/result.h"
#include "settings/host_settings.h"
#include "telemetry/audit_trail.h"

namespace burdockwheel::host {

// An address of the settings that could not be opened.
struct StartFailure {
  std::string setting;  // such as "caller_listen"
  std::string address;
};

class EntryHost {
 public:
  explicit EntryHost(const settings::HostSettings& settings);
  ~EntryHost();

  // Opens every address.
  kernel::Result<std::monostate, StartFailure> TryStart();

  // Reads the settings again; nothing if they have faults, which it reports.
  using SettingsReader = std::function<std::optional<settings::HostSettings>()>;

  // Serves until SIGTERM or SIGINT and the planned stop that follows. SIGHUP
  // takes what `read_settings` returns as far as it can be taken without a
  // restart: the log level, the seeds and the times of the planned stop.
  void Run(SettingsReader read_settings);

 private:
  using AdminMessage = std::variant<std::monostate, ReadinessShown,
                                    ServingReport, ControlReport>;

  ServingThread::Hooks ServingHooks();
  ControlThread::Hooks ControlHooks();
  void AwaitSignal();
  void Reload();
  void TakeAdminMessage(AdminMessage message);
  void RecordChange(const engine::RecordChange& change);
  AdminServer::Hooks AdminHooks();
  void TellControl(ControlMessage message);

  settings::HostSettings settings;
  SettingsReader read_settings;
  model::Incarnation incarnation;
  telemetry::AuditTrail audit;
  CutLinks cut_links;
  boost::asio::io_context admin_context{1};
  boost::asio::signal_set signals;
  AdminServer admin;
  ThreadInbox<AdminMessage> admin_inbox_of_serving;
  ThreadInbox<AdminMessage> admin_inbox_of_control;
  ServingThread serving;
  ControlThread control;
};

}  // namespace burdockwheel::host
