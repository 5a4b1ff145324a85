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
#include "host/thread_inbox.h"
#include "http/deadline_queue.h"
#include "platform/platform_client.h"
#include "settings/host_settings.h"
#include "telemetry/audit_trail.h"

namespace burdockwheel::host {

// Watches the platform's configuration service and its list of hosts.
class ControlThread {
 public:
  ControlThread(const settings::HostSettings& settings,
                telemetry::AuditTrail& audit,
                ThreadInbox<ServingMessage>& serving,
                std::function<void(ControlSnapshot)> publish_snapshot);

  // Runs until Stop().
  void Run();

  // May be called on any thread.
  void Stop();

 private:
  void WatchConfiguration();
  void WatchHosts();
  void OnConfiguration(const platform::PublishedValue& value);
  void OnHosts(const platform::PublishedValue& value);
  void After(boost::asio::steady_timer& timer, std::chrono::milliseconds delay,
             std::function<void()> function);
  void Publish();

  settings::HostSettings settings;
  telemetry::AuditTrail& audit;
  ThreadInbox<ServingMessage>& serving;
  std::function<void(ControlSnapshot)> publish_snapshot;
  boost::asio::io_context context{1};
  http::DeadlineQueue deadlines;
  platform::PlatformClient client;
  boost::asio::steady_timer configuration_timer;
  boost::asio::steady_timer hosts_timer;
  std::uint64_t configuration_version = 0;
  std::uint64_t hosts_generation = 0;
  std::size_t worker_count = 0;
};

}  // namespace burdockwheel::host
