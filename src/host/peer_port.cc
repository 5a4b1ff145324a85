#include "host/peer_port.h"

#include <utility>

#include "peer/nng_transport.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

std::string PeerAddressOf(const settings::HostSettings& settings) {
  return settings.peer_advertise.value_or(settings.peer_listen).Text();
}

PeerPort::PeerPort(const settings::HostSettings& settings,
                   model::Incarnation incarnation, Hooks hooks)
    : listen_address(settings.peer_listen.Text()),
      host(settings.host),
      incarnation(incarnation),
      hooks(std::move(hooks)),
      envelope(settings.peer_keys, PeerAddressOf(settings)) {}

PeerPort::~PeerPort() = default;

kernel::Result<std::monostate, peer::TransportFailure> PeerPort::TryOpen() {
  peer::NngTransport::Hooks transport_hooks;
  transport_hooks.receive = [this](const peer::MessageBytes& bytes) {
    this->OnBytes(bytes);
  };
  transport_hooks.should_drop = this->hooks.should_drop;
  auto opened = peer::NngTransport::Open(this->listen_address,
                                         std::move(transport_hooks));
  if (!opened.HasValue()) return opened.Failure();
  this->transport = std::move(opened.Value());
  return std::monostate();
}

bool PeerPort::TrySend(const std::string& address, peer::MessageKind kind,
                       std::string body) {
  if (body.size() > peer::kMostMessageBodyBytes) return false;
  const peer::PeerMessage message{kind, this->host, this->incarnation,
                                  std::move(body)};
  return this->transport->TrySend(address,
                                  this->envelope.Seal(message, address));
}

void PeerPort::OnBytes(const peer::MessageBytes& bytes) {
  auto opened = this->envelope.Open(bytes);
  if (!opened.HasValue()) {
    telemetry::LogEvent(
        telemetry::LogLevel::kWarning, "peer-message-refused",
        {{"reason", static_cast<std::int64_t>(opened.Failure())}});
    return;
  }
  this->hooks.receive(std::move(opened.Value()));
}

}  // namespace burdockwheel::host
