#include "host/serving_thread.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "host/caller_bounds.h"
#include "host/peer_port.h"
#include "host/test_protections.h"
#include "telemetry/event_log.h"
#include "telemetry/metric_text.h"

namespace burdockwheel::host {

namespace {

using std::chrono::steady_clock;

constexpr std::size_t kInboxCapacity = 1024;
constexpr std::size_t kMostSessions = 12'000;
constexpr std::chrono::milliseconds kTickPeriod =
    ownership::PauseDetector::kTickInterval;
constexpr std::chrono::milliseconds kStopCheckPeriod{10};
// Before the end of a planned stop: calls end by then, so that their answers
// reach the callers.
constexpr std::chrono::milliseconds kLastAnswersTime{100};

// How long the control thread's word is waited for after a pause.
constexpr std::chrono::milliseconds kConfirmTimeout{2000};

std::uint64_t SeedOf(const settings::HostSettings& settings) {
  return settings.test.random_seed.value_or(std::random_device()());
}

std::unique_ptr<const http::MessageConventions> ConventionsOf(
    const settings::HostSettings& settings) {
  auto conventions = http::MessageConventionsRegistry::CreateOrNull(
      settings.message_conventions);
  if (conventions) return conventions;
  return std::make_unique<http::MessageConventions>(
      http::DefaultMessageConventions());
}

http::WorkerPoolLimits PoolLimitsOf(const settings::HostSettings& settings) {
  http::WorkerPoolLimits limits;
  limits.connect_timeout = settings.worker_connect_timeout;
  limits.max_unfinished_bytes =
      static_cast<std::size_t>(settings.UnfinishedAnswerBytes());
  return limits;
}

engine::EngineSettings EngineSettingsOf(const settings::HostSettings& settings,
                                        model::Incarnation incarnation) {
  engine::EngineSettings engine_settings;
  engine_settings.failure_domain = settings.failure_domain;
  engine_settings.peer_address = PeerAddressOf(settings);
  engine_settings.random_seed = SeedOf(settings);
  engine_settings.load_watch = {settings.failure_domain, incarnation,
                                settings.load_interval};
  if (settings.fleet_retry) {
    const auto& retry = *settings.fleet_retry;
    engine_settings.fleet_retry = {retry.share, retry.slack};
    engine_settings.retry.max_levels = retry.levels;
    // A process that starts has no share in what others have saved up.
    engine_settings.retry.initial_tokens = 0;
  }
  engine_settings.is_return_prompt = settings.is_return_prompt;
  if (settings.hedging) {
    engine_settings.hedge_limit = {settings.hedging->call_share,
                                   settings.hedging->time_share};
  }
  if (settings.warm_up_limit) {
    engine_settings.routing.warm_up = {settings.warm_up_limit->excess,
                                       settings.warm_up_limit->slack};
  }
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

}  // namespace

ServingThread::ServingThread(const settings::HostSettings& settings,
                             model::Incarnation incarnation, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      conventions(ConventionsOf(settings)),
      deadlines(this->context),
      pool(this->context, this->deadlines, *this->conventions,
           PoolLimitsOf(settings)),
      journal(settings.log_call_lines_per_second),
      resolver(settings.host, *this->conventions, SeedOf(settings)),
      executor(this->context, EngineSettingsOf(settings, incarnation),
               this->pool, *this->conventions, this->metrics, this->journal,
               {this->hooks.record_change, this->hooks.share_suspicion,
                this->hooks.share_load, nullptr}),
      keyed_calls(settings.peer_keys
                      ? std::make_unique<KeyedCalls>(
                            this->context,
                            OwnershipSettingsOf(settings, incarnation),
                            this->resolver, this->executor, this->KeyedHooks())
                      : nullptr),
      gateway(settings.caller_header, *this->conventions, this->resolver,
              this->executor, this->journal, this->GatewayHooks()),
      body_budget(static_cast<std::size_t>(settings.HeldBodyBytes())),
      delivery_budget(static_cast<std::size_t>(settings.UnreadAnswerBytes())),
      listener(this->context, SessionLimitsOf({}, settings.MostHeldBodyBytes()),
               kMostSessions, this->SessionHooks()),
      inbox(kInboxCapacity, this->context,
            [this](ServingMessage message) { this->Take(std::move(message)); }),
      peer_inbox(kInboxCapacity, this->context,
                 [this](peer::PeerMessage message) {
                   if (!this->keyed_calls) return;
                   this->keyed_calls->Notify(
                       ownership::PeerMessageArrived{std::move(message)});
                 }),
      tick_timer(this->context),
      stop_timer(this->context) {}

ServingThread::~ServingThread() = default;

http::SessionHooks ServingThread::SessionHooks() {
  return {[this](const std::shared_ptr<http::Exchange>& exchange) {
            this->Handle(exchange);
          },
          [this](const std::string& caller, int status) {
            this->metrics.requests_unreadable += 1;
            this->journal.Unreadable(steady_clock::now(), caller, status);
          },
          &this->body_budget, &this->delivery_budget};
}

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
  if (!this->keyed_calls) return gateway_hooks;
  gateway_hooks.issue_key = [this](KeyedCalls::KeyCompletion on_complete) {
    this->keyed_calls->IssueKey(std::move(on_complete));
  };
  gateway_hooks.run_keyed_call = [this](KeyedCall call,
                                        CallCompletion on_complete) {
    this->keyed_calls->Run(std::move(call), std::move(on_complete));
  };
  return gateway_hooks;
}

kernel::Result<std::monostate, http::ListenFailure> ServingThread::TryListen() {
  return this->listener.TryListen(this->settings.caller_listen.Text());
}

void ServingThread::Run() {
  this->Tick();
  this->context.run();
}

void ServingThread::BeginStop() {
  boost::asio::post(this->context, [this] { this->AnnounceStop(); });
}

void ServingThread::Reload(const settings::HostSettings& changed) {
  boost::asio::post(this->context, [this, stop = changed.stop,
                                    lines = changed.log_call_lines_per_second] {
    this->settings.stop = stop;
    this->journal.SetRate(lines);
  });
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
  this->SetCallerLimits(configuration->caller_limits);
  this->resolver.SetConfiguration(message.in_force);
  this->executor.Notify(engine::ConfigurationAccepted{configuration});
  this->ShowReadiness();
}

void ServingThread::SetCallerLimits(const model::CallerLimits& callers) {
  const auto most_body_bytes = this->settings.MostHeldBodyBytes();
  this->listener.SetLimits(SessionLimitsOf(callers, most_body_bytes));
  auto lowered = LoweredLimits(callers, most_body_bytes);
  if (lowered == this->lowered_limits) return;
  this->lowered_limits = std::move(lowered);
  for (const auto& value : this->lowered_limits) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "value-adjusted",
                        {{"place", value.place},
                         {"stated", value.stated},
                         {"used", value.used}});
  }
}

void ServingThread::Take(WorkersChanged message) {
  this->pool.SetWorkers(message.workers);
  this->has_workers = !message.workers.empty();
  this->executor.Notify(engine::WorkersListed{std::move(message.workers)});
  this->ShowReadiness();
}

void ServingThread::Take(const ReadinessTold& message) {
  this->is_configuration_sound = message.is_ready;
  this->resolver.SetSound(message.is_ready);
  this->ShowReadiness();
}

void ServingThread::Take(PeersChanged message) {
  this->executor.Notify(
      engine::PeersListed{message.watching, message.known_hosts});
  if (!this->keyed_calls) return;
  this->keyed_calls->UpdatePeers(std::move(message.addresses),
                                 std::move(message.alive));
}

void ServingThread::Take(const ownership::PeerLeft& message) {
  if (this->keyed_calls) this->keyed_calls->Notify(message);
}

void ServingThread::Take(const engine::CrashSuspected& message) {
  this->executor.Notify(message);
}

void ServingThread::Take(const engine::PeerLoadReceived& message) {
  this->executor.Notify(message);
}

void ServingThread::TickLater() {
  this->tick_timer.expires_after(kTickPeriod);
  this->tick_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->metrics.loop_lag.Add(std::max<std::chrono::nanoseconds>(
        std::chrono::nanoseconds(0),
        steady_clock::now() - this->tick_timer.expiry()));
    this->Tick();
  });
}

void ServingThread::Tick() {
  this->NoticePause();
  this->EndSuspension();
  this->ShowReadiness();
  this->TickLater();
}

void ServingThread::ShowReadiness() {
  const bool is_ready =
      this->resolver.IsSound() && this->has_workers && !this->is_stopping;
  this->hooks.show_readiness({is_ready});
  if (is_ready == this->was_ready) return;
  this->was_ready = is_ready;
  telemetry::LogEvent(
      telemetry::LogLevel::kInfo, "readiness",
      {{"ready", is_ready ? 1 : 0},
       {"sound", this->resolver.IsSound() ? 1 : 0},
       {"has_workers", this->has_workers ? 1 : 0},
       {"stopping", this->is_stopping ? 1 : 0},
       {"configuration", this->resolver.ConfigurationVersion()}});
}

void ServingThread::RequestReport() {
  boost::asio::post(this->context, [this] {
    this->hooks.publish_report({this->Metrics(), this->View()});
  });
}

std::string ServingThread::Metrics() const {
  telemetry::MetricText text;
  this->metrics.Write(text);
  text.Gauge("unread_answer_bytes", "Answers that callers have not read yet.",
             static_cast<double>(this->delivery_budget.UsedBytes()));
  text.Counter("unread_answers_given_up",
               "Connections ended for the memory of answers left unread.",
               static_cast<double>(this->delivery_budget.GivenUpCount()));
  this->executor.WriteMetrics(text);
  WriteLogMetrics(this->journal.GetCounts(), text);
  text.Gauge("caller_connections", "Open connections of callers.",
             static_cast<double>(this->listener.SessionCount()));
  text.Gauge("worker_connections", "Open connections to workers.",
             static_cast<double>(this->pool.ConnectionCount()));
  return text.Text();
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
  // From now on, not only once new calls are refused: a call that lasts longer
  // than the stop is better off on another host.
  this->executor.Notify(
      engine::StopBegun{this->stop_deadline - kLastAnswersTime});
  this->ShowReadiness();
  this->listener.AnnounceClose();
  this->stop_timer.expires_after(this->settings.stop.announce);
  this->stop_timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->RefuseNewCalls();
  });
}

void ServingThread::RefuseNewCalls() {
  if (this->keyed_calls) {
    this->keyed_calls->Notify(ownership::StopBegun());
  } else {
    this->OnHandedOver({});
  }
  this->listener.CloseWhenIdle();
  this->StopWhenIdle();
}

void ServingThread::OnHandedOver(const std::vector<model::HostId>& holders) {
  this->is_handed_over = true;
  this->hooks.announce_holders(holders);
}

void ServingThread::StopWhenIdle() {
  const auto now = steady_clock::now();
  // What has lasted since before the stop.
  if (now >= this->stop_deadline - kLastAnswersTime)
    this->calls_cut += this->executor.EndCalls();
  const bool is_idle = this->is_handed_over && !this->executor.HasCalls() &&
                       this->listener.SessionCount() == 0;
  if (is_idle || now >= this->stop_deadline) {
    telemetry::LogEvent(
        telemetry::LogLevel::kInfo, "stopped",
        {{"calls_cut", static_cast<std::int64_t>(this->calls_cut)}});
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
