#include "host/peer_port.h"

#include <utility>

#include "peer/socket_transport.h"
#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

// What is sent anew before long, or answered by the receiver, may be lost.
peer::Delivery DeliveryOf(peer::MessageKind kind) {
  switch (kind) {
    case peer::MessageKind::kHeartbeat:
    case peer::MessageKind::kLoadDigest:
    case peer::MessageKind::kLoadDigestToRelay:
    case peer::MessageKind::kPublicationBeacon:
    case peer::MessageKind::kPublicationBeaconToRelay:
    case peer::MessageKind::kRelayedPublicationBeacon:
      return peer::Delivery::kDatagram;
    case peer::MessageKind::kForwardCall:
    case peer::MessageKind::kForwardAnswer:
    case peer::MessageKind::kConfigurationOffer:
    case peer::MessageKind::kConfigurationRequest:
    case peer::MessageKind::kConfigurationPart:
    case peer::MessageKind::kCrashSuspicion:
    case peer::MessageKind::kLedgerPart:
    case peer::MessageKind::kLedgerQuery:
    case peer::MessageKind::kLedgerAnswer:
    case peer::MessageKind::kPublicationUpdate:
      return peer::Delivery::kStream;
  }
  return peer::Delivery::kStream;
}

void LogRefused(std::int64_t reason) {
  telemetry::LogEvent(telemetry::LogLevel::kWarning, "peer-message-refused",
                      {{"reason", reason}});
}

}  // namespace

std::string PeerAddressOf(const settings::HostSettings& settings) {
  return settings.peer_advertise.value_or(settings.peer_listen).Text();
}

PeerPort::PeerPort(boost::asio::io_context& context,
                   const settings::HostSettings& settings,
                   model::Incarnation incarnation, Hooks hooks)
    : context(context),
      listen_address(settings.peer_listen.Text()),
      host(settings.host),
      incarnation(incarnation),
      hooks(std::move(hooks)) {
  if (!settings.peer_keys) return;
  this->envelope = std::make_unique<peer::Envelope>(*settings.peer_keys,
                                                    PeerAddressOf(settings));
}

PeerPort::~PeerPort() = default;

kernel::Result<std::monostate, peer::TransportFailure> PeerPort::TryOpen() {
  peer::SocketTransport::Hooks transport_hooks;
  transport_hooks.receive = [this](const peer::MessageBytes& bytes) {
    this->OnBytes(bytes);
  };
  transport_hooks.should_drop = this->hooks.should_drop;
  auto opened = peer::SocketTransport::Open(this->context, this->listen_address,
                                            std::move(transport_hooks));
  if (!opened.HasValue()) return opened.Failure();
  this->transport = std::move(opened.Value());
  return std::monostate();
}

bool PeerPort::TrySend(const std::string& address, peer::MessageKind kind,
                       std::string body) {
  if (body.size() > peer::kMostMessageBodyBytes || !this->transport)
    return false;
  const peer::PeerMessage message{kind, this->host, this->incarnation,
                                  std::move(body)};
  auto bytes = this->envelope ? this->envelope->Seal(message, address)
                              : peer::EncodePeerMessage(message);
  return this->transport->TrySend(address, DeliveryOf(kind), std::move(bytes));
}

void PeerPort::OnBytes(const peer::MessageBytes& bytes) {
  if (!this->envelope) {
    const auto decoded = peer::DecodePeerMessage(bytes);
    if (!decoded.HasValue()) {
      LogRefused(static_cast<std::int64_t>(decoded.Failure()));
      return;
    }
    this->hooks.receive(decoded.Value());
    return;
  }
  const auto opened = this->envelope->Open(bytes);
  if (!opened.HasValue()) {
    LogRefused(static_cast<std::int64_t>(opened.Failure()));
    return;
  }
  this->hooks.receive(opened.Value());
}

}  // namespace burdockwheel::host
