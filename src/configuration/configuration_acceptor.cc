#include "configuration/configuration_acceptor.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

#include <algorithm>
#include <utility>

#include "configuration/configuration_parser.h"
#include "configuration/configuration_serializer.h"

namespace burdockwheel::configuration {

namespace {

constexpr std::size_t kMostRecentRefusals = 16;

}  // namespace

AcceptanceVerdict ConfigurationAcceptor::Judge(
    ConfigurationStamp offered) const {
  if (offered == this->stamp) return AcceptanceVerdict::kUnchanged;
  if (offered.version < this->stamp.version)
    return AcceptanceVerdict::kRefusedOlder;
  if (offered.version > this->stamp.version)
    return AcceptanceVerdict::kAccepted;
  return this->stamp < offered ? AcceptanceVerdict::kAcceptedOfRace
                               : AcceptanceVerdict::kRefusedOfRace;
}

bool ConfigurationAcceptor::IsRepeated(AcceptanceVerdict verdict,
                                       std::uint64_t digest) {
  const Refusal refusal{verdict, digest};
  const bool is_known = std::ranges::find(this->recent_refusals, refusal) !=
                        this->recent_refusals.end();
  if (is_known) return true;
  this->recent_refusals.push_back(refusal);
  if (this->recent_refusals.size() > kMostRecentRefusals)
    this->recent_refusals.pop_front();
  return false;
}

AcceptanceRecord ConfigurationAcceptor::Offer(
    std::string_view document, const ConfigurationSource& source,
    const std::optional<ConfigurationStamp>& claimed) {
  AcceptanceRecord record;
  record.source = source;
  record.before = this->stamp;
  auto parsed = ParseFleetConfiguration(document, source.Text());
  if (!parsed.HasValue()) {
    record.verdict = AcceptanceVerdict::kRefusedInvalid;
    record.faults = parsed.Failure();
  } else {
    record.offered = {parsed.Value().version,
                      DigestFleetConfiguration(parsed.Value())};
    const bool is_as_claimed = !claimed || *claimed == record.offered;
    record.verdict = is_as_claimed ? this->Judge(record.offered)
                                   : AcceptanceVerdict::kRefusedNotAsClaimed;
  }
  if (IsAccepted(record.verdict)) {
    this->stamp = record.offered;
    this->current = std::make_shared<const model::FleetConfiguration>(
        std::move(parsed).Value());
  } else if (record.verdict != AcceptanceVerdict::kUnchanged) {
    record.is_repeated = this->IsRepeated(
        record.verdict, XXH3_64bits(document.data(), document.size()));
  }
  return record;
}

}  // namespace burdockwheel::configuration
