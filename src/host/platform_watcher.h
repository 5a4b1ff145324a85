// Watches what the platform publishes.
#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>

#include "http/deadline_queue.h"
#include "platform/host_list.h"
#include "platform/platform_client.h"
#include "settings/host_settings.h"

namespace burdockwheel::host {

// Keeps one long poll of the list of hosts outstanding, and reads the
// configuration service when asked. Runs on the control thread.
class PlatformWatcher {
 public:
  struct Hooks {
    std::function<void(const platform::HostList&)> on_hosts;
  };

  PlatformWatcher(boost::asio::io_context& context,
                  const settings::PlatformSettings& settings, Hooks hooks);

  void Start();

  // Reads the configuration; see platform::PlatformClient.
  void ReadConfiguration(std::uint64_t after, std::chrono::milliseconds wait,
                         platform::PlatformClient::Handler handler);

  std::uint64_t HostsGeneration() const { return this->hosts_generation; }
  std::uint64_t ReadCount() const { return this->read_count; }

 private:
  void WatchHosts();
  void OnHosts(const platform::PublishedValue& value);

  settings::PlatformSettings settings;
  Hooks hooks;
  http::DeadlineQueue deadlines;
  platform::PlatformClient client;
  boost::asio::steady_timer retry_timer;
  std::uint64_t hosts_generation = 0;
  std::uint64_t read_count = 0;
};

}  // namespace burdockwheel::host
