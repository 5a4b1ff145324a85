// Where ConfigurationSpread gets configurations from: the service and peers.
#include <algorithm>
#include <utility>

#include "spread/configuration_delta.h"
#include "spread/configuration_spread.h"
#include "spread/reader_choice.h"

namespace burdockwheel::spread {

using configuration::AcceptanceVerdict;
using configuration::ConfigurationSource;
using configuration::ConfigurationStamp;

bool ConfigurationSpread::IsReaderNow() const {
  if (this->is_leaving) return false;
  std::vector<model::Incarnation> others;
  for (const auto& [incarnation, domain] : this->domain_by_alive_peer) {
    if (domain == this->settings.failure_domain.value)
      others.push_back({incarnation});
  }
  return IsReader(this->settings.incarnation, others,
                  this->acceptor.Stamp().version);
}

std::uint64_t ConfigurationSpread::ReadAfter(kernel::Instant now) const {
  const auto held = this->acceptor.Stamp().version;
  if (now >= this->refused_version_until) return held;
  return std::max(held, this->refused_version);
}

void ConfigurationSpread::ReadIfDue(kernel::Instant now, Actions& actions) {
  if (this->is_reading || this->settings.is_told_by_platform) return;
  const bool is_watch = this->IsReaderNow() && now >= this->next_watch;
  const bool is_fallback =
      this->settings.protections.has_fallback && now >= this->next_fallback;
  if (!is_watch && !is_fallback) return;
  this->is_reading = true;
  this->read_begin = now;
  this->next_fallback =
      now + kFallbackInterval / 2 + this->Jittered(kFallbackInterval);
  actions.emplace_back(
      ReadService{this->ReadAfter(now),
                  is_watch ? kWatchWait : std::chrono::milliseconds(0)});
}

void ConfigurationSpread::EndRead(kernel::Instant now, bool is_useful) {
  this->is_reading = false;
  const auto spacing = is_useful
                           ? kernel::Instant::duration(kReadSpacing)
                           : kRetrySpacing + this->Jittered(kRetrySpacing);
  this->next_watch = std::max(now, this->read_begin + spacing);
  // Its own watch has just told a reader what a slow read would.
  this->next_fallback =
      now + kFallbackInterval / 2 + this->Jittered(kFallbackInterval);
}

bool ConfigurationSpread::IsWanted(kernel::Instant now,
                                   const ConfigurationStamp& stamp) const {
  if (!(this->acceptor.Stamp() < stamp)) return false;
  return std::ranges::none_of(
      this->refused_stamps, [now, &stamp](const auto& refused) {
        return refused.first == stamp && now < refused.second;
      });
}

void ConfigurationSpread::FetchIfWanted(kernel::Instant now, Actions& actions) {
  if (!this->settings.protections.has_peer_fetch) return;
  if (this->fetch) {
    const bool is_obsolete = !this->IsWanted(now, this->fetch->request.wanted);
    const bool is_late = now >= this->fetch->deadline;
    if (!is_obsolete && !is_late) return;
    // Ask another peer, until this one is heard again.
    if (is_late) this->holders.erase(this->fetch->address);
    this->fetch.reset();
  }
  std::vector<std::pair<std::string, Holder>> choices;
  for (const auto& [address, holder] : this->holders) {
    if (this->IsWanted(now, holder.stamp))
      choices.emplace_back(address, holder);
  }
  if (choices.empty()) return;
  const auto& [address, holder] = choices[this->random() % choices.size()];
  this->StartFetch(now, address, holder, false, actions);
}

void ConfigurationSpread::StartFetch(kernel::Instant now,
                                     const std::string& address,
                                     const Holder& holder, bool is_whole,
                                     Actions& actions) {
  this->fetch.emplace();
  this->fetch->host = holder.host;
  this->fetch->address = address;
  this->fetch->request.wanted = holder.stamp;
  if (!is_whole) this->fetch->request.base = this->acceptor.Stamp();
  this->SendRequest(now, actions);
}

void ConfigurationSpread::SendRequest(kernel::Instant now, Actions& actions) {
  this->fetch->deadline = now + kFetchTimeout;
  actions.emplace_back(SendMessage{this->fetch->address,
                                   peer::MessageKind::kConfigurationRequest,
                                   EncodeRequest(this->fetch->request)});
}

void ConfigurationSpread::CompleteFetch(kernel::Instant now, Actions& actions) {
  const PublicationFetch done = *std::exchange(this->fetch, std::nullopt);
  const bool is_whole = done.base.version == 0;
  // What it was asked to change is no longer in force; the next heartbeat tells
  // what is still wanted.
  if (!is_whole && !(done.base == this->acceptor.Stamp())) return;
  const auto base = this->acceptor.CurrentOrNull();
  const auto document =
      TryApplyDelta(is_whole ? nullptr : base.get(), done.bytes);
  const auto& stamp = done.request.wanted;
  const auto record = this->Offer(now, document.value_or(""),
                                  {ConfigurationSource::Kind::kPeer, done.host},
                                  stamp, actions);
  if (IsAccepted(record.verdict) ||
      record.verdict == AcceptanceVerdict::kUnchanged)
    return;
  if (!is_whole) {
    this->StartFetch(now, done.address, {done.host, stamp}, true, actions);
    return;
  }
  this->RememberRefusal(now, stamp);
}

}  // namespace burdockwheel::spread
