#include "host/control_thread.h"

#include <boost/asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <utility>

#include "configuration/configuration_parser.h"
#include "platform/host_list.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

constexpr std::chrono::milliseconds kWatchTime{10'000};
constexpr std::chrono::milliseconds kRetryDelay{500};

}  // namespace

ControlThread::ControlThread(
    const settings::HostSettings& settings, telemetry::AuditTrail& audit,
    ThreadInbox<ServingMessage>& serving,
    std::function<void(ControlSnapshot)> publish_snapshot)
    : settings(settings),
      audit(audit),
      serving(serving),
      publish_snapshot(std::move(publish_snapshot)),
      deadlines(this->context),
      client(this->context, this->deadlines),
      configuration_timer(this->context),
      hosts_timer(this->context) {}

void ControlThread::Run() {
  this->Publish();
  this->WatchConfiguration();
  this->WatchHosts();
  this->context.run();
}

void ControlThread::Stop() { this->context.stop(); }

// FIXME: Each host watches the service by itself; the spread between peers and
// the acceptance rules take this place.
void ControlThread::WatchConfiguration() {
  this->client.ReadConfiguration(
      this->settings.platform.configuration.Text(), this->configuration_version,
      kWatchTime, [this](auto result) {
        if (!result.HasValue()) {
          this->After(this->configuration_timer, kRetryDelay,
                      [this] { this->WatchConfiguration(); });
          return;
        }
        if (!result.Value().is_unchanged) this->OnConfiguration(result.Value());
        this->WatchConfiguration();
      });
}

void ControlThread::WatchHosts() {
  this->client.ReadHosts(this->settings.platform.hosts.Text(),
                         this->hosts_generation, kWatchTime,
                         [this](auto result) {
                           if (!result.HasValue()) {
                             this->After(this->hosts_timer, kRetryDelay,
                                         [this] { this->WatchHosts(); });
                             return;
                           }
                           if (!result.Value().is_unchanged)
                             this->OnHosts(result.Value());
                           this->WatchHosts();
                         });
}

void ControlThread::OnConfiguration(const platform::PublishedValue& value) {
  auto parsed = configuration::ParseFleetConfiguration(value.text);
  this->configuration_version = value.version;
  if (!parsed.HasValue()) {
    telemetry::LogEvent(
        telemetry::LogLevel::kError, "configuration-refused",
        {{"faults", static_cast<std::int64_t>(parsed.Failure().size())}});
    return;
  }
  auto configuration = std::make_shared<const model::FleetConfiguration>(
      std::move(parsed.Value()));
  ConfigurationChanged message;
  message.in_force =
      std::make_shared<const ConfigurationInForce>(configuration);
  telemetry::AuditEntry entry;
  entry.subject = "configuration";
  entry.to = std::to_string(configuration->version);
  entry.cause = "published";
  this->audit.Record(std::move(entry));
  if (!this->serving.TryPush(std::move(message))) {
    telemetry::LogEvent(telemetry::LogLevel::kError, "serving-inbox-full", {});
  }
  this->Publish();
}

void ControlThread::OnHosts(const platform::PublishedValue& value) {
  auto list = platform::ParseHostList(value.text);
  if (!list.HasValue()) {
    telemetry::LogEvent(telemetry::LogLevel::kError, "host-list-malformed", {});
    return;
  }
  this->hosts_generation = value.version;
  this->worker_count = list.Value().workers.size();
  if (!this->serving.TryPush(WorkersChanged{list.Value().workers})) {
    telemetry::LogEvent(telemetry::LogLevel::kError, "serving-inbox-full", {});
  }
  PeersChanged peers;
  for (const auto& host : list.Value().entry_hosts) {
    if (host.id == this->settings.host) continue;
    peers.addresses.emplace(host.id, host.peer_address);
  }
  if (!this->serving.TryPush(std::move(peers))) {
    telemetry::LogEvent(telemetry::LogLevel::kError, "serving-inbox-full", {});
  }
  this->Publish();
}

void ControlThread::After(boost::asio::steady_timer& timer,
                          std::chrono::milliseconds delay,
                          std::function<void()> function) {
  timer.expires_after(delay);
  timer.async_wait(
      [function = std::move(function)](const boost::system::error_code& error) {
        if (!error) function();
      });
}

void ControlThread::Publish() {
  nlohmann::ordered_json view;
  view["configuration_version"] = this->configuration_version;
  view["hosts_generation"] = this->hosts_generation;
  view["workers_listed"] = this->worker_count;
  ControlSnapshot snapshot;
  snapshot.view = view.dump();
  this->publish_snapshot(std::move(snapshot));
}

}  // namespace burdockwheel::host
