#include "host/membership_runner.h"

#include <map>
#include <utility>
#include <variant>

#include "membership/heartbeat.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

using std::chrono::steady_clock;

MembershipRunner::MembershipRunner(
    boost::asio::io_context& context,
    const membership::MembershipSettings& settings, Hooks hooks)
    : timer(context), table(settings), hooks(std::move(hooks)) {}

void MembershipRunner::Start() { this->Notify(membership::TimerFired()); }

void MembershipRunner::Notify(const membership::Event& event) {
  membership::Actions actions;
  this->table.Handle(steady_clock::now(), event, actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
  }
  if (std::exchange(this->has_new_peers, false)) this->PublishPeers();
}

void MembershipRunner::TakeHeartbeat(const std::string& body) {
  auto heartbeat = membership::DecodeHeartbeat(body);
  if (!heartbeat.HasValue()) {
    telemetry::LogEvent(telemetry::LogLevel::kWarning, "heartbeat-malformed",
                        {});
    return;
  }
  this->Notify(membership::HeartbeatArrived{std::move(heartbeat.Value())});
}

void MembershipRunner::Do(const membership::SendHeartbeat& action) {
  this->heartbeats_sent += 1;
  this->heartbeat_bytes_sent += action.body.size();
  this->hooks.send_heartbeat(action.address, action.body);
}

void MembershipRunner::Do(const membership::MemberChanged& action) {
  this->has_new_peers = true;
  this->hooks.member_changed(action);
  const auto& entry = action.entry;
  const bool has_left = entry.state == membership::MemberState::kGone &&
                        !entry.ledger_holders.empty();
  if (!has_left) return;
  this->hooks.peer_left(
      {{entry.host, entry.incarnation}, entry.ledger_holders});
}

void MembershipRunner::Do(const membership::StampReceived& action) {
  this->hooks.stamp_heard(action);
}

void MembershipRunner::Do(const membership::CrashHintReceived& action) {
  const auto& hint = action.hint;
  engine::CrashSuspected event;
  event.fingerprint = hint.fingerprint;
  event.service = hint.service;
  event.worker = hint.worker;
  event.crashes = hint.crashes;
  this->hooks.crash_suspected(event);
}

void MembershipRunner::Do(const membership::PauseDetected& action) {
  telemetry::LogEvent(telemetry::LogLevel::kWarning, "pause-detected",
                      {{"length_ms", action.length.count()}});
  this->hooks.pause_detected(action);
}

void MembershipRunner::Do(const membership::ContactEstablished& /*action*/) {
  telemetry::LogEvent(telemetry::LogLevel::kInfo, "contact-regained", {});
  this->hooks.contact_regained();
}

void MembershipRunner::Do(const membership::RecordChange& action) {
  this->hooks.record_change(action);
}

void MembershipRunner::Do(const membership::WakeAt& action) {
  this->timer.expires_at(action.time);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (!error) this->Notify(membership::TimerFired());
  });
}

// A suspect is still asked for its keys: it may answer, and if it does not the
// caller is told "unknown" all the same.
void MembershipRunner::PublishPeers() {
  PeersChanged message;
  std::map<std::string, model::FailureDomain> known_addresses;
  for (const auto& [incarnation, member] : this->table.Members().All()) {
    const auto& entry = member.entry;
    known_addresses.try_emplace(entry.address, entry.failure_domain);
    if (entry.state == membership::MemberState::kGone) continue;
    message.alive.push_back({entry.host, entry.incarnation});
    if (entry.state == membership::MemberState::kAlive) {
      message.watching.push_back({entry.incarnation, entry.failure_domain});
    }
    message.addresses[entry.host] = entry.address;
  }
  message.known_hosts.reserve(known_addresses.size());
  for (auto& [address, domain] : known_addresses)
    message.known_hosts.push_back({address, std::move(domain)});
  this->hooks.peers_changed(std::move(message));
}

}  // namespace burdockwheel::host
