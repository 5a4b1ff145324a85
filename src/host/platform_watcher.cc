#include "host/platform_watcher.h"

#include <utility>

#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

constexpr std::chrono::milliseconds kWatchTime{10'000};
constexpr std::chrono::milliseconds kRetryDelay{500};

}  // namespace

PlatformWatcher::PlatformWatcher(boost::asio::io_context& context,
                                 const settings::PlatformSettings& settings,
                                 Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      deadlines(context),
      client(context, this->deadlines),
      retry_timer(context) {}

void PlatformWatcher::Start() { this->WatchHosts(); }

void PlatformWatcher::ReadConfiguration(
    std::uint64_t after, std::chrono::milliseconds wait,
    platform::PlatformClient::Handler handler) {
  this->read_count += 1;
  this->client.ReadConfiguration(this->settings.configuration.Text(), after,
                                 wait, std::move(handler));
}

void PlatformWatcher::WatchHosts() {
  this->read_count += 1;
  this->client.ReadHosts(this->settings.hosts.Text(), this->hosts_generation,
                         kWatchTime, [this](const auto& result) {
                           if (result.HasValue()) {
                             if (!result.Value().is_unchanged)
                               this->OnHosts(result.Value());
                             this->WatchHosts();
                             return;
                           }
                           this->retry_timer.expires_after(kRetryDelay);
                           this->retry_timer.async_wait(
                               [this](const boost::system::error_code& error) {
                                 if (!error) this->WatchHosts();
                               });
                         });
}

void PlatformWatcher::OnHosts(const platform::PublishedValue& value) {
  // The list lags anyway; one that is older than the list held is passed over,
  // so that no worker comes back that a later list took away.
  if (value.version <= this->hosts_generation) return;
  const auto list = platform::ParseHostList(value.text);
  if (!list.HasValue()) {
    telemetry::LogEvent(
        telemetry::LogLevel::kError, "host-list-malformed",
        {{"generation", static_cast<std::int64_t>(value.version)}});
    return;
  }
  this->hosts_generation = value.version;
  this->hooks.on_hosts(list.Value());
}

}  // namespace burdockwheel::host
