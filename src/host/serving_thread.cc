#include "host/serving_thread.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "host/test_protections.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t kInboxCapacity = 1024;
constexpr std::size_t kMostSessions = 12'000;
constexpr std::chrono::milliseconds kPublishPeriod =
    ownership::PauseDetector::kTickInterval;
constexpr std::chrono::milliseconds kStopCheckPeriod{10};

// How long the control thread's word is waited for after a pause.
constexpr std::chrono::milliseconds kConfirmTimeout{2000};

engine::EngineSettings EngineSettingsOf(
    const settings::HostSettings& settings) {
  engine::EngineSettings engine_settings;
  engine_settings.failure_domain = settings.failure_domain;
  engine_settings.random_seed =
      settings.test.random_seed.value_or(std::random_device()());
  return engine_settings;
}

ownership::OwnershipSettings OwnershipSettingsOf(
    const settings::HostSettings& settings, model::Incarnation incarnation) {
  ownership::OwnershipSettings ownership_settings;
  ownership_settings.self = {settings.host, incarnation};
  auto& ledger = ownership_settings.ledger;
  ledger.most_keys = static_cast<std::size_t>(settings.most_keys);
  ledger.key_retention = settings.key_lifetime;
  ledger.most_answer_bytes =
      static_cast<std::size_t>(settings.most_answer_bytes);
  ownership_settings.switched_off_in_tests =
      ProtectionsOf(settings.test.switched_off);
  return ownership_settings;
}

http::SessionLimits SessionLimitsOf(const settings::HostSettings& settings) {
  http::SessionLimits limits;
  limits.read.most_body_bytes =
      static_cast<std::size_t>(settings.most_body_bytes);
  return limits;
}

}  // namespace

ServingThread::ServingThread(const settings::HostSettings& settings,
                             model::Incarnation incarnation, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      deadlines(this->context),
      pool(this->context, this->deadlines, {}),
      resolver(settings.host),
      executor(
          this->context, EngineSettingsOf(settings), this->pool, this->metrics,
          {this->hooks.record_change, this->hooks.share_suspicion, nullptr}),
      keyed_calls(this->context, OwnershipSettingsOf(settings, incarnation),
                  this->resolver, this->executor, this->KeyedHooks()),
      gateway(settings.caller_header, this->resolver, this->executor,
              this->GatewayHooks()),
      listener(this->context, SessionLimitsOf(settings), kMostSessions,
               [this](const std::shared_ptr<http::Exchange>& exchange) {
                 this->Handle(exchange);
               }),
      inbox(kInboxCapacity, this->context,
            [this](ServingMessage message) { this->Take(std::move(message)); }),
      peer_inbox(kInboxCapacity, this->context,
                 [this](peer::PeerMessage message) {
                   this->keyed_calls.Notify(
                       ownership::PeerMessageArrived{std::move(message)});
                 }),
      publish_timer(this->context),
      stop_timer(this->context) {}

ServingThread::~ServingThread() = default;

KeyedCalls::Hooks ServingThread::KeyedHooks() {
  KeyedCalls::Hooks keyed_hooks;
  keyed_hooks.send = this->hooks.send_to_peer;
  keyed_hooks.record_change = [this](const ownership::RecordChange& change) {
    this->hooks.record_change({change.subject, change.from, change.to,
                               change.cause, change.evidence});
  };
  keyed_hooks.on_handed_over =
      [this](const std::vector<model::HostId>& holders) {
        this->OnHandedOver(holders);
      };
  return keyed_hooks;
}

CallGateway::Hooks ServingThread::GatewayHooks() {
  CallGateway::Hooks gateway_hooks;
  gateway_hooks.issue_key = [this](KeyedCalls::KeyCompletion on_complete) {
    this->keyed_calls.IssueKey(std::move(on_complete));
  };
  gateway_hooks.run_keyed_call = [this](KeyedCall call,
                                        CallCompletion on_complete) {
    this->keyed_calls.Run(std::move(call), std::move(on_complete));
  };
  return gateway_hooks;
}

kernel::Result<std::monostate, http::ListenFailure> ServingThread::TryListen() {
  return this->listener.TryListen(this->settings.caller_listen.Text());
}

void ServingThread::Run() {
  this->Publish();
  this->context.run();
}

void ServingThread::BeginStop() {
  boost::asio::post(this->context, [this] { this->AnnounceStop(); });
}

void ServingThread::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  this->NoticePause();
  this->gateway.Handle(exchange);
}

// A process that wakes from a pause may see a caller's request before the
// control thread has learnt what changed meanwhile.
void ServingThread::NoticePause() {
  const auto now = steady_clock::now();
  if (!this->pause_detector.Observe(now)) return;
  this->suspended_until = now + kConfirmTimeout;
  this->resolver.SetSound(false);
}

void ServingThread::EndSuspension() {
  if (this->resolver.IsSound()) return;
  if (steady_clock::now() < this->suspended_until) return;
  this->resolver.SetSound(this->is_configuration_sound);
}

void ServingThread::Take(ServingMessage message) {
  std::visit(
      [this](auto&& concrete) {
        this->Take(std::forward<decltype(concrete)>(concrete));
      },
      std::move(message));
}

void ServingThread::Take(std::monostate /*nothing*/) {}

void ServingThread::Take(const ConfigurationChanged& message) {
  const auto& configuration = message.in_force->configuration;
  int most_connections = 0;
  for (const auto& service : configuration->services) {
    const int share =
        service.worker_connections / configuration->most_entry_hosts;
    most_connections = std::max({most_connections, share, 1});
  }
  this->pool.SetMostConnections(static_cast<std::size_t>(most_connections));
  this->resolver.SetConfiguration(message.in_force);
  this->executor.Notify(engine::ConfigurationAccepted{configuration});
  this->Publish();
}

void ServingThread::Take(WorkersChanged message) {
  std::vector<model::WorkerAddress> addresses;
  for (const auto& worker : message.workers) {
    addresses.push_back(worker.address);
  }
  this->pool.KeepOnly(addresses);
  this->has_workers = !addresses.empty();
  this->executor.Notify(engine::WorkersListed{std::move(message.workers)});
  this->Publish();
}

void ServingThread::Take(const ReadinessTold& message) {
  this->is_configuration_sound = message.is_ready;
  this->resolver.SetSound(message.is_ready);
  this->Publish();
}

void ServingThread::Take(PeersChanged message) {
  this->keyed_calls.UpdatePeers(std::move(message.addresses),
                                std::move(message.alive));
}

void ServingThread::Take(const ownership::PeerLeft& message) {
  this->keyed_calls.Notify(message);
}

void ServingThread::Take(const engine::CrashSuspected& message) {
  this->executor.Notify(message);
}

void ServingThread::PublishLater() {
  this->publish_timer.expires_after(kPublishPeriod);
  this->publish_timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) this->Publish();
      });
}

void ServingThread::Publish() {
  this->NoticePause();
  this->EndSuspension();
  ServingSnapshot snapshot;
  snapshot.is_ready =
      this->resolver.IsSound() && this->has_workers && !this->is_stopping;
  snapshot.metrics = this->metrics.AsPrometheus();
  snapshot.view = this->View();
  this->hooks.publish_snapshot(std::move(snapshot));
  this->PublishLater();
}

std::string ServingThread::View() const {
  nlohmann::ordered_json view;
  view["host"] = this->settings.host.value;
  view["failure_domain"] = this->settings.failure_domain.value;
  view["is_stopping"] = this->is_stopping;
  view["calls_in_flight"] = this->executor.CallCount();
  view["caller_connections"] = this->listener.SessionCount();
  view["worker_connections"] = this->pool.ConnectionCount();
  const auto* in_force = this->resolver.InForceOrNull();
  view["configuration_version"] =
      in_force == nullptr ? 0 : in_force->configuration->version;
  return view.dump();
}

void ServingThread::AnnounceStop() {
  if (this->is_stopping) return;
  this->is_stopping = true;
  this->stop_deadline = steady_clock::now() + this->settings.stop.announce +
                        this->settings.stop.most_wait;
  telemetry::LogEvent(telemetry::LogLevel::kInfo, "stop-announced",
                      {{"announce_ms", this->settings.stop.announce.count()}});
  this->hooks.announce_stop();
  this->Publish();
  this->listener.AnnounceClose();
  this->stop_timer.expires_after(this->settings.stop.announce);
  this->stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->RefuseNewCalls();
  });
}

void ServingThread::RefuseNewCalls() {
  this->executor.Notify(engine::StopBegun());
  this->keyed_calls.Notify(ownership::StopBegun());
  this->listener.CloseWhenIdle();
  this->StopWhenIdle();
}

void ServingThread::OnHandedOver(const std::vector<model::HostId>& holders) {
  this->is_handed_over = true;
  this->hooks.announce_holders(holders);
}

void ServingThread::StopWhenIdle() {
  const bool is_idle = this->is_handed_over && !this->executor.HasCalls() &&
                       this->listener.SessionCount() == 0;
  if (is_idle || steady_clock::now() >= this->stop_deadline) {
    telemetry::LogEvent(
        telemetry::LogLevel::kInfo, "stopped",
        {{"calls_cut", static_cast<std::int64_t>(this->executor.CallCount())}});
    if (!this->is_handed_over) this->hooks.announce_holders({});
    this->context.stop();
    return;
  }
  this->stop_timer.expires_after(kStopCheckPeriod);
  this->stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->StopWhenIdle();
  });
}

}  // namespace burdockwheel::host
