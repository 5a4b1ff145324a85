#include "spread/configuration_spread.h"

#include <algorithm>

#include "kernel/wake_up.h"
#include "spread/reader_choice.h"

namespace burdockwheel::spread {

namespace {

using configuration::AcceptanceRecord;
using configuration::AcceptanceVerdict;
using configuration::ConfigurationSource;
using configuration::ConfigurationStamp;

constexpr std::size_t kMostRefusedStamps = 8;

std::string StampText(const ConfigurationStamp& stamp) {
  if (stamp.version == 0) return "none";
  return "version=" + std::to_string(stamp.version) +
         " digest=" + std::to_string(stamp.digest);
}

}  // namespace

ConfigurationSpread::ConfigurationSpread(const SpreadSettings& settings)
    : settings(settings), random(settings.random_seed) {}

void ConfigurationSpread::Handle(kernel::Instant now, const Event& event,
                                 Actions& actions) {
  if (!this->is_started) {
    this->is_started = true;
    this->BeginConfirmation(now);
    this->next_watch = now;
    this->next_fallback = now;
  }
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->HandleEvent(now, concrete, actions);
      },
      event);
  this->ReadIfDue(now, actions);
  this->FetchIfWanted(now, actions);
  this->UpdateReadiness(now, actions);
  const auto next = this->NextWakeUp();
  if (next == kernel::Instant::max()) return;
  actions.emplace_back(WakeAt{kernel::WakeUpAfter(now, next)});
}

void ConfigurationSpread::HandleEvent(kernel::Instant /*now*/,
                                      const TimerFired& /*event*/,
                                      Actions& /*actions*/) {}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const ServiceDocumentRead& event,
                                      Actions& actions) {
  const auto record = this->Offer(now, event.document,
                                  {ConfigurationSource::Kind::kService, ""},
                                  std::nullopt, actions);
  if (record.verdict == AcceptanceVerdict::kRefusedInvalid &&
      event.version > this->acceptor.Stamp().version) {
    // Watch for the next one; but not for ever, since the service may have
    // misstated the version.
    this->refused_version = event.version;
    this->refused_version_until = now + kRefusalMemory;
  }
  this->EndRead(now, IsAccepted(record.verdict));
}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const ServiceUnchanged& /*event*/,
                                      Actions& /*actions*/) {
  // A service that does not wait as it was asked to is read at the slower pace.
  this->EndRead(now, now - this->read_begin >= kRetrySpacing);
}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const ServiceReadFailed& /*event*/,
                                      Actions& /*actions*/) {
  this->EndRead(now, false);
}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const DocumentPublished& event,
                                      Actions& actions) {
  const auto record = this->Offer(now, event.document,
                                  {ConfigurationSource::Kind::kService, ""},
                                  std::nullopt, actions);
  const bool is_newest = IsAccepted(record.verdict) ||
                         record.verdict == AcceptanceVerdict::kUnchanged;
  if (!is_newest || this->is_confirmed) return;
  this->is_confirmed = true;
  actions.emplace_back(
      RecordChange{"configuration", "unconfirmed", "confirmed", "platform",
                   "in_force=" + StampText(this->acceptor.Stamp())});
}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const RequestArrived& event,
                                      Actions& actions) {
  const auto part = this->server.PartOrNothing(now, event.request);
  if (!part) return;
  actions.emplace_back(SendMessage{
      event.address, peer::MessageKind::kConfigurationPart, EncodePart(*part)});
}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const PartArrived& event,
                                      Actions& actions) {
  if (!this->fetch || this->fetch->host != event.host) return;
  switch (this->fetch->Take(event.part)) {
    case PublicationFetch::Progress::kIgnored:
      return;
    case PublicationFetch::Progress::kMoreWanted:
      this->SendRequest(now, actions);
      return;
    case PublicationFetch::Progress::kComplete:
      this->CompleteFetch(now, actions);
      return;
  }
}

void ConfigurationSpread::HandleEvent(kernel::Instant /*now*/,
                                      const LeaveBegun& /*event*/,
                                      Actions& /*actions*/) {
  this->is_leaving = true;
}

void ConfigurationSpread::HandleEvent(kernel::Instant /*now*/,
                                      const ContactEstablished& /*event*/,
                                      Actions& /*actions*/) {
  this->has_contact = true;
}

void ConfigurationSpread::HandleEvent(kernel::Instant /*now*/,
                                      const MemberChanged& event,
                                      Actions& /*actions*/) {
  const auto& entry = event.entry;
  if (entry.state == membership::MemberState::kAlive) {
    this->domain_by_alive_peer[entry.incarnation.value] =
        entry.failure_domain.value;
  } else {
    this->domain_by_alive_peer.erase(entry.incarnation.value);
  }
}

void ConfigurationSpread::HandleEvent(kernel::Instant now,
                                      const PauseDetected& /*event*/,
                                      Actions& /*actions*/) {
  this->BeginConfirmation(now);
  this->fetch.reset();
  this->next_watch = now;
  this->next_fallback = now;
}

void ConfigurationSpread::HandleEvent(kernel::Instant /*now*/,
                                      const StampReceived& event,
                                      Actions& /*actions*/) {
  if (this->newest_heard < event.stamp) this->newest_heard = event.stamp;
  if (this->acceptor.Stamp() < event.stamp) {
    if (this->holders.size() < membership::MemberStore::kMaxMembers)
      this->holders[event.address] = {event.host.value, event.stamp};
    return;
  }
  this->holders.erase(event.address);
}

// Acceptance.

AcceptanceRecord ConfigurationSpread::Offer(
    kernel::Instant now, const std::string& document,
    const ConfigurationSource& source,
    const std::optional<ConfigurationStamp>& claimed, Actions& actions) {
  auto record = this->acceptor.Offer(document, source, claimed);
  Note(record, actions);
  if (!IsAccepted(record.verdict)) return record;
  const auto stamp = this->acceptor.Stamp();
  std::erase_if(this->holders, [&stamp](const auto& holder) {
    return !(stamp < holder.second.stamp);
  });
  this->server.Publish(stamp, this->acceptor.CurrentOrNull());
  // The duty of watching may have passed to this host; it begins at once.
  this->next_watch = now;
  actions.emplace_back(
      ConfigurationInForce{this->acceptor.CurrentOrNull(), stamp});
  return record;
}

void ConfigurationSpread::Note(const AcceptanceRecord& record,
                               Actions& actions) {
  if (record.verdict == AcceptanceVerdict::kUnchanged || record.is_repeated)
    return;
  std::string evidence = "source=" + record.source.Text() +
                         " offered=" + StampText(record.offered);
  if (!record.faults.empty()) {
    evidence += " faults=" + std::to_string(record.faults.size()) +
                " first=" + FaultMessage(record.faults.front());
  }
  const auto& after =
      IsAccepted(record.verdict) ? record.offered : record.before;
  actions.emplace_back(RecordChange{
      "configuration", StampText(record.before), StampText(after),
      std::string(AcceptanceVerdictName(record.verdict)), std::move(evidence)});
}

void ConfigurationSpread::RememberRefusal(kernel::Instant now,
                                          const ConfigurationStamp& stamp) {
  if (!this->settings.protections.has_refusal_memory) return;
  if (this->refused_stamps.size() == kMostRefusedStamps)
    this->refused_stamps.erase(this->refused_stamps.begin());
  this->refused_stamps.emplace_back(stamp, now + kRefusalMemory);
}

// Readiness.

void ConfigurationSpread::BeginConfirmation(kernel::Instant now) {
  this->has_contact = false;
  this->is_confirmed = !this->settings.protections.has_confirmation;
  this->confirm_deadline = now + kConfirmTimeout;
}

void ConfigurationSpread::UpdateReadiness(kernel::Instant now,
                                          Actions& actions) {
  const bool has_configuration = this->acceptor.Stamp().version != 0;
  if (!this->is_confirmed && has_configuration) {
    const bool is_newer_known = this->IsWanted(now, this->newest_heard);
    const bool is_late = now >= this->confirm_deadline;
    this->is_confirmed = is_late || (this->has_contact && !is_newer_known);
    if (this->is_confirmed) {
      actions.emplace_back(
          RecordChange{"configuration", "unconfirmed", "confirmed",
                       is_late ? "confirm-timeout" : "peer",
                       "in_force=" + StampText(this->acceptor.Stamp())});
    }
  }
  const bool was_ready = this->is_ready;
  this->is_ready = has_configuration && this->is_confirmed;
  if (this->is_ready != was_ready)
    actions.emplace_back(ReadinessChanged{this->is_ready});
}

// Without a configuration there is nothing to confirm, however long it takes.
bool ConfigurationSpread::IsConfirmationDue() const {
  return !this->is_confirmed && this->acceptor.Stamp().version != 0;
}

kernel::Instant ConfigurationSpread::NextWakeUp() const {
  if (this->settings.is_told_by_platform) {
    auto next = kernel::Instant::max();
    if (this->fetch) next = this->fetch->deadline;
    if (this->IsConfirmationDue())
      next = std::min(next, this->confirm_deadline);
    return next;
  }
  auto next = this->IsReaderNow()
                  ? std::min(this->next_watch, this->next_fallback)
                  : this->next_fallback;
  if (this->is_reading) next = kernel::Instant::max();
  if (this->fetch) next = std::min(next, this->fetch->deadline);
  if (this->IsConfirmationDue()) next = std::min(next, this->confirm_deadline);
  if (next == kernel::Instant::max()) next = this->read_begin + 2 * kWatchWait;
  return next;
}

kernel::Instant::duration ConfigurationSpread::Jittered(
    std::chrono::milliseconds base) {
  std::uniform_int_distribution<std::int64_t> extra(0, base.count());
  return std::chrono::milliseconds(extra(this->random));
}

}  // namespace burdockwheel::spread
