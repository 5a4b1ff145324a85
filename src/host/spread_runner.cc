#include "host/spread_runner.h"

#include <chrono>
#include <utility>
#include <variant>

#include "spread/configuration_messages.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

SpreadRunner::SpreadRunner(boost::asio::io_context& context,
                           const spread::SpreadSettings& settings, Hooks hooks)
    : timer(context), spread(settings), hooks(std::move(hooks)) {}

void SpreadRunner::Start() { this->Notify(spread::TimerFired()); }

void SpreadRunner::Notify(const spread::Event& event) {
  spread::Actions actions;
  this->spread.Handle(std::chrono::steady_clock::now(), event, actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
  }
}

void SpreadRunner::TakeMessage(const peer::PeerMessage& message,
                               const std::string& address) {
  if (message.kind == peer::MessageKind::kConfigurationRequest) {
    const auto request = spread::TryDecodeRequest(message.body);
    if (request) this->Notify(spread::RequestArrived{address, *request});
    return;
  }
  auto part = spread::TryDecodePart(message.body);
  if (!part) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning,
                        "configuration-part-malformed",
                        {{"peer", message.sender.value}});
    return;
  }
  this->Notify(spread::PartArrived{message.sender.value, std::move(*part)});
}

// Never asked for: the platform tells of each document.
void SpreadRunner::Do(const spread::ReadService& /*action*/) {}

void SpreadRunner::Do(const spread::SendMessage& action) {
  this->bytes_sent += action.body.size();
  this->hooks.send(action.address, action.kind, action.body);
}

void SpreadRunner::Do(const spread::ConfigurationInForce& action) {
  this->hooks.in_force(
      std::make_shared<const ConfigurationInForce>(action.configuration),
      action.stamp);
}

void SpreadRunner::Do(const spread::ReadinessChanged& action) {
  this->hooks.readiness_changed(action.is_ready);
}

void SpreadRunner::Do(const spread::RecordChange& action) {
  if (action.cause.starts_with("refused-")) this->refusals += 1;
  this->hooks.record_change(action);
}

void SpreadRunner::Do(const spread::WakeAt& action) {
  this->timer.expires_at(action.time);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->hooks.notice_time();
    this->Notify(spread::TimerFired());
  });
}

}  // namespace burdockwheel::host
