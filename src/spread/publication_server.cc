#include "spread/publication_server.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace burdockwheel::spread {

void PublicationServer::Publish(
    const configuration::ConfigurationStamp& stamp,
    std::shared_ptr<const model::FleetConfiguration> configuration) {
  this->stamp = stamp;
  this->configuration = std::move(configuration);
  this->deltas.clear();
  this->history.push_back({stamp, DigestsOf(*this->configuration)});
  if (this->history.size() > kMostHistory) this->history.pop_front();
}

const ConfigurationDigests* PublicationServer::DigestsOrNull(
    const configuration::ConfigurationStamp& stamp) const {
  for (const auto& past : this->history) {
    if (past.stamp == stamp) return &past.digests;
  }
  return nullptr;
}

const std::string& PublicationServer::DeltaFrom(
    const configuration::ConfigurationStamp& base,
    const ConfigurationDigests& digests) {
  const auto found = this->deltas.find(base.digest);
  if (found != this->deltas.end()) return found->second;
  if (this->deltas.size() == kMostCachedDeltas)
    this->deltas.erase(this->deltas.begin());
  return this->deltas
      .emplace(base.digest, EncodeDelta(digests, *this->configuration))
      .first->second;
}

bool PublicationServer::TrySpend(kernel::Instant now) {
  if (now - this->second_begin >= std::chrono::seconds(1)) {
    this->second_begin = now;
    this->parts_in_second = 0;
  }
  return ++this->parts_in_second <= kMostPartsInSecond;
}

std::optional<ConfigurationPart> PublicationServer::PartOrNothing(
    kernel::Instant now, const ConfigurationRequest& request) {
  if (!this->configuration || !this->TrySpend(now)) return std::nullopt;
  ConfigurationPart answer;
  answer.stamp = this->stamp;
  const ConfigurationDigests* digests = this->DigestsOrNull(request.base);
  if (digests != nullptr) answer.base = request.base;
  const std::string& delta = this->DeltaFrom(
      answer.base, digests != nullptr ? *digests : ConfigurationDigests());
  answer.part = request.wanted == this->stamp ? request.part : 0;
  answer.part_count = static_cast<std::uint32_t>(std::max<std::size_t>(
      (delta.size() + kMostPartBytes - 1) / kMostPartBytes, 1));
  if (answer.part >= answer.part_count) return std::nullopt;
  answer.bytes = delta.substr(answer.part * kMostPartBytes, kMostPartBytes);
  return answer;
}

}  // namespace burdockwheel::spread
