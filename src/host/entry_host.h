// A whole entry host: its threads and what joins them.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/signal_set.hpp>
#include <memory>
#include <string>
#include <variant>

#include "host/admin_server.h"
#include "host/control_thread.h"
#include "host/cut_links.h"
#include "host/peer_port.h"
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

  // Serves until SIGTERM or SIGINT and the planned stop that follows.
  void Run();

 private:
  using AdminMessage =
      std::variant<std::monostate, ServingSnapshot, ControlSnapshot>;

  ServingThread::Hooks ServingHooks();
  ControlThread::Hooks ControlHooks();
  void TakeAdminMessage(AdminMessage message);
  void RecordChange(const engine::RecordChange& change);
  PeerPort::Hooks PeerHooks();
  AdminServer::Hooks AdminHooks();
  void TellControl(ControlMessage message);
  void TakePeerMessage(peer::PeerMessage message);

  settings::HostSettings settings;
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
  PeerPort peer_port;
};

}  // namespace burdockwheel::host
