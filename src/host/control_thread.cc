#include "host/control_thread.h"

#include <algorithm>
#include <boost/asio/post.hpp>
#include <chrono>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "host/peer_port.h"
#include "publication/reader_beacon.h"
#include "telemetry/event_log.h"
#include "telemetry/metric_text.h"

namespace burdockwheel::host {

namespace {

constexpr std::size_t kInboxCapacity = 1024;
constexpr std::chrono::milliseconds kLagPeriod{500};
// Two hosts of each domain pass a beacon on, since one of them may be lost and
// the next beacon is 0.75 s away.
constexpr std::size_t kBeaconRelays = 2;

membership::MembershipSettings MembershipSettingsOf(
    const settings::HostSettings& settings, model::Incarnation incarnation) {
  membership::MembershipSettings membership_settings;
  membership_settings.host = settings.host;
  membership_settings.incarnation = incarnation;
  membership_settings.address = PeerAddressOf(settings);
  membership_settings.failure_domain = settings.failure_domain;
  membership_settings.seed_addresses = settings.seed_peers;
  membership_settings.cross_domain_share = settings.cross_domain_share;
  membership_settings.random_seed =
      settings.test.random_seed.value_or(std::random_device()());
  return membership_settings;
}

spread::SpreadSettings SpreadSettingsOf(const settings::HostSettings& settings,
                                        model::Incarnation incarnation) {
  spread::SpreadSettings spread_settings;
  spread_settings.host = settings.host;
  spread_settings.incarnation = incarnation;
  spread_settings.failure_domain = settings.failure_domain;
  spread_settings.random_seed =
      settings.test.random_seed.value_or(std::random_device()());
  spread_settings.is_told_by_platform = true;
  return spread_settings;
}

publication::ReaderSettings ReaderSettingsOf(
    const settings::HostSettings& settings, model::Incarnation incarnation) {
  publication::ReaderSettings reader_settings;
  reader_settings.incarnation = incarnation;
  reader_settings.failure_domain = settings.failure_domain;
  reader_settings.is_shared = settings.platform.is_shared;
  reader_settings.watch_wait = settings.platform.watch_wait;
  reader_settings.random_seed =
      settings.test.random_seed.value_or(std::random_device()());
  return reader_settings;
}

}  // namespace

ControlThread::ControlThread(const settings::HostSettings& settings,
                             model::Incarnation incarnation, Hooks hooks)
    : settings(settings),
      hooks(std::move(hooks)),
      membership(this->context, MembershipSettingsOf(settings, incarnation),
                 this->MembershipHooks()),
      publication(this->context, ReaderSettingsOf(settings, incarnation),
                  publication::PublicationSourceRegistry::CreateOrNull(
                      settings.platform.kind, this->context,
                      settings.platform.address.Text()),
                  this->PublicationHooks()),
      spread(this->context, SpreadSettingsOf(settings, incarnation),
             this->SpreadHooks()),
      peer_port(this->context, settings, incarnation,
                {[this](const peer::PeerMessage& message) {
                   this->TakePeerMessage(message);
                 },
                 this->hooks.should_drop}),
      inbox(kInboxCapacity, this->context,
            [this](const ControlMessage& message) { this->Take(message); }),
      lag_timer(this->context),
      relays(static_cast<std::size_t>(incarnation.value)),
      beacon_relays(static_cast<std::size_t>(incarnation.value)),
      leave_announcement_timer(this->context) {}

ControlThread::~ControlThread() = default;

kernel::Result<std::monostate, peer::TransportFailure>
ControlThread::TryListen() {
  return this->peer_port.TryOpen();
}

void ControlThread::Run() {
  this->MeasureLag();
  this->membership.Start();
  this->publication.Start();
  this->spread.Start();
  this->context.run();
  this->hooks.on_stopped();
}

void ControlThread::SetSeeds(std::vector<std::string> addresses) {
  boost::asio::post(this->context, [this, addresses = std::move(addresses)] {
    this->membership.Notify(membership::SeedsChanged{addresses});
  });
}

void ControlThread::Stop() { this->context.stop(); }

void ControlThread::Take(const ControlMessage& message) {
  std::visit([this](const auto& concrete) { this->Take(concrete); }, message);
}

void ControlThread::Take(std::monostate /*nothing*/) {}

void ControlThread::Take(const engine::ShareCrashSuspicion& message) {
  membership::CrashHint hint;
  hint.fingerprint = message.fingerprint;
  hint.service = message.service;
  hint.worker = message.worker;
  hint.crashes = message.crashes;
  this->membership.Notify(membership::CrashHintRaised{std::move(hint)});
}

void ControlThread::Take(const StopAnnounced& /*message*/) {
  this->spread.Notify(spread::LeaveBegun());
  this->membership.Notify(membership::LeaveBegun());
}

// The peers are to learn of the end before the process is gone.
void ControlThread::Take(const LedgerHandedOver& message) {
  this->membership.Notify(membership::LeaveEnded{message.holders});
  // Without keys nobody needs to know who holds a ledger; that this host leaves
  // was told when the stop began.
  if (!this->settings.peer_keys) {
    this->context.stop();
    return;
  }
  this->leave_announcement_timer.expires_after(
      membership::MembershipTable::kLeaveAnnouncementTime);
  this->leave_announcement_timer.async_wait(
      [this](const boost::system::error_code& error) {
        if (!error) this->context.stop();
      });
}

void ControlThread::Take(const PeerMessageToSend& message) {
  this->SendToPeer(message.address, message.kind, message.body);
}

void ControlThread::Take(const load::LoadShare& message) {
  const auto body = load::EncodeLoadDigest(message.digest);
  this->SendToPeers(peer::MessageKind::kLoadDigest, body, false);
  if (!message.is_wide) return;
  for (const auto& address : this->relays.Take(this->FarPeers()))
    this->SendToPeer(address, peer::MessageKind::kLoadDigestToRelay, body);
}

std::vector<load::RelayCandidate> ControlThread::FarPeers() const {
  std::vector<load::RelayCandidate> candidates;
  this->ForEachPeer([&candidates](const auto& entry, bool is_near) {
    if (!is_near) candidates.push_back({entry.failure_domain, entry.address});
  });
  return candidates;
}

void ControlThread::SendBeacon(const std::string& body, bool is_wide) {
  const bool is_relayed = is_wide && this->settings.cross_domain_share;
  this->SendToPeers(peer::MessageKind::kPublicationBeacon, body,
                    is_wide && !is_relayed);
  if (!is_relayed) return;
  const auto relays = this->beacon_relays.Take(this->FarPeers(), kBeaconRelays);
  for (const auto& address : relays) {
    this->SendToPeer(address, peer::MessageKind::kPublicationBeaconToRelay,
                     body);
  }
}

// What waited here while this host was paused is older than it says.
void ControlThread::RelayBeacon(const peer::PeerMessage& message) {
  if (std::chrono::steady_clock::now() < this->relays_from) return;
  const auto body = publication::EncodeRelayedBeacon(
      {message.sender_incarnation, message.body});
  this->SendToPeers(peer::MessageKind::kRelayedPublicationBeacon, body, false);
}

void ControlThread::TakeBeacon(const std::string& body,
                               model::Incarnation sender) {
  const auto* member = this->membership.Table().Members().FindOrNull(sender);
  if (member == nullptr) return;
  this->publication.TakeBeacon(body, sender, member->entry.failure_domain);
}

// What waited here while this host was paused is older than it says.
void ControlThread::RelayDigest(const std::string& body) {
  if (std::chrono::steady_clock::now() < this->relays_from) return;
  this->SendToPeers(peer::MessageKind::kLoadDigest, body, false);
}

void ControlThread::SendToPeers(peer::MessageKind kind, const std::string& body,
                                bool is_wide) {
  this->ForEachPeer(
      [this, kind, &body, is_wide](const auto& entry, bool is_near) {
        if (is_near || is_wide) this->SendToPeer(entry.address, kind, body);
      });
}

void ControlThread::ForEachPeer(const PeerVisitor& visit) const {
  for (const auto& [incarnation, member] :
       this->membership.Table().Members().All()) {
    const auto& entry = member.entry;
    if (entry.state == membership::MemberState::kGone) continue;
    visit(entry, entry.failure_domain == this->settings.failure_domain);
  }
}

// Later, since the reading may be what the membership heard of.
void ControlThread::TellReader(const PeersChanged& message) {
  publication::PeersListed peers;
  for (const auto& peer : message.watching)
    peers.peers.push_back({peer.incarnation, peer.failure_domain});
  boost::asio::post(this->context, [this, peers = std::move(peers)] {
    this->publication.Notify(peers);
  });
}

void ControlThread::SendToPeer(const std::string& address,
                               peer::MessageKind kind, std::string body) {
  const auto domain = this->domain_of.find(address);
  const bool is_near = domain != this->domain_of.end() &&
                       domain->second == this->settings.failure_domain;
  this->peer_traffic.Add(kind, is_near, body.size());
  // A message that is dropped here is as one lost by the network.
  static_cast<void>(this->peer_port.TrySend(address, kind, std::move(body)));
}

void ControlThread::TakePeerMessage(const peer::PeerMessage& message) {
  this->NoticeTime();
  switch (message.kind) {
    case peer::MessageKind::kHeartbeat:
      this->membership.TakeHeartbeat(message.body);
      return;
    case peer::MessageKind::kLoadDigest:
    case peer::MessageKind::kLoadDigestToRelay: {
      auto digest = load::TryDecodeLoadDigest(message.body);
      if (!digest) return;
      if (message.kind == peer::MessageKind::kLoadDigestToRelay)
        this->RelayDigest(message.body);
      this->TellServing(engine::PeerLoadReceived{std::move(*digest)});
      return;
    }
    case peer::MessageKind::kForwardCall:
    case peer::MessageKind::kForwardAnswer:
    case peer::MessageKind::kLedgerPart:
    case peer::MessageKind::kLedgerQuery:
    case peer::MessageKind::kLedgerAnswer:
      // A message that finds the ring full is as one lost by the network.
      static_cast<void>(this->hooks.tell_serving_of_peer(message));
      return;
    case peer::MessageKind::kPublicationUpdate:
      this->publication.TakeUpdate(message.body);
      return;
    case peer::MessageKind::kPublicationBeaconToRelay:
      this->RelayBeacon(message);
      this->TakeBeacon(message.body, message.sender_incarnation);
      return;
    case peer::MessageKind::kPublicationBeacon:
      this->TakeBeacon(message.body, message.sender_incarnation);
      return;
    case peer::MessageKind::kRelayedPublicationBeacon: {
      const auto relayed = publication::TryDecodeRelayedBeacon(message.body);
      if (relayed) this->TakeBeacon(relayed->body, relayed->origin);
      return;
    }
    case peer::MessageKind::kConfigurationOffer:
    case peer::MessageKind::kConfigurationRequest:
    case peer::MessageKind::kConfigurationPart:
    case peer::MessageKind::kCrashSuspicion:
      break;
  }
  const auto* sender =
      this->membership.Table().Members().FindOrNull(message.sender_incarnation);
  if (sender == nullptr) return;
  this->spread.TakeMessage(message, sender->entry.address);
}

// The membership sees a pause of this process in the gap of the clock. It must
// see it before anything is decided from what was held before the pause.
void ControlThread::NoticeTime() {
  this->membership.Notify(membership::TimerFired());
}

void ControlThread::TellServing(ServingMessage message) {
  if (this->hooks.tell_serving(std::move(message))) return;
  telemetry::LogEvent(telemetry::LogLevel::kError, "serving-inbox-full", {});
}

void ControlThread::RequestReport() {
  boost::asio::post(this->context, [this] {
    this->hooks.publish_report({this->Metrics(), this->View()});
  });
}

void ControlThread::MeasureLag() {
  this->lag_timer.expires_after(kLagPeriod);
  this->lag_timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->loop_lag.Add(std::max<std::chrono::nanoseconds>(
        std::chrono::nanoseconds(0),
        std::chrono::steady_clock::now() - this->lag_timer.expiry()));
    this->MeasureLag();
  });
}

std::string ControlThread::View() const {
  nlohmann::ordered_json view;
  view["configuration_version"] =
      this->spread.Spread().Acceptor().Stamp().version;
  const auto& revision = this->publication.Reader().Revision();
  view["platform_era"] = revision.era;
  view["platform_revision"] = revision.number;
  view["is_platform_lost"] = this->publication.Reader().IsLost();
  view["local_health"] = this->membership.Table().LocalHealth();
  view["has_contact"] = this->membership.Table().HasContact();
  auto members = nlohmann::ordered_json::array();
  for (const auto& [incarnation, member] :
       this->membership.Table().Members().All()) {
    members.push_back(
        {{"host", member.entry.host.value},
         {"address", member.entry.address},
         {"failure_domain", member.entry.failure_domain.value},
         {"state", membership::MemberStateName(member.entry.state)},
         {"configuration_version", member.stamp.version}});
  }
  view["members"] = std::move(members);
  return view.dump();
}

std::string ControlThread::Metrics() const {
  telemetry::MetricText text;
  const auto counter = [&text](const char* name, const char* help, auto value) {
    text.Counter(name, help, static_cast<double>(value));
  };
  const auto gauge = [&text](const char* name, const char* help, auto value) {
    text.Gauge(name, help, static_cast<double>(value));
  };
  const auto& reader = this->publication.Reader();
  const auto& table = this->membership.Table();
  gauge("configuration_version", "Version of the configuration in force.",
        this->spread.Spread().Acceptor().Stamp().version);
  counter("configurations_refused_total",
          "Publications that did not come into force on this host.",
          this->spread.RefusalCount());
  counter("platform_reads_total", "Reads that were sent to the platform.",
          this->publication.ReadCount());
  counter("platform_reads_failed_total", "Reads without a usable answer.",
          this->publication.FailedReadCount());
  counter("platform_answers_overdue_total",
          "Times that this host asked the platform because no host was known "
          "to have been answered in time.",
          this->publication.OverdueCount());
  gauge("platform_era", "Times that the platform came back from a copy.",
        reader.Revision().era);
  gauge("platform_revision",
        "Newest revision in its era of the platform that is known.",
        reader.Revision().number);
  gauge("platform_is_lost", "1 while the platform cannot be read.",
        reader.IsLost() ? 1 : 0);
  gauge("platform_age_seconds",
        "Time since the platform was last read or heard of through a peer.",
        std::chrono::duration<double>(this->publication.Age()).count());
  gauge("evacuated_domains",
        "Failure domains that get nothing because the operators want it so.",
        this->publication.EvacuatedDomains());
  counter("heartbeats_sent_total", "Heartbeats sent to peers.",
          this->membership.HeartbeatsSent());
  counter("heartbeat_bytes_sent_total", "Bytes of these.",
          this->membership.HeartbeatBytesSent());
  this->peer_traffic.Write(text);
  counter("configuration_bytes_sent_total",
          "Bytes of configurations sent to peers.", this->spread.BytesSent());
  gauge("is_configuration_watcher",
        "1 if this host reads the configuration for others.",
        this->spread.Spread().IsWatching() ? 1 : 0);
  gauge("members_present", "Hosts that are held to be there.",
        table.Members().PresentCount());
  gauge("has_contact", "1 while peers answer.", table.HasContact() ? 1 : 0);
  gauge("local_health", "Lifeguard's awareness of an own fault; 0 is sound.",
        table.LocalHealth());
  text.Family("control_loop_lag_seconds", telemetry::MetricType::kHistogram,
              "How late the control thread's timers fire.");
  text.Sample("", this->loop_lag);
  return text.Text();
}

}  // namespace burdockwheel::host
