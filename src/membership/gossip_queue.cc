#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace burdockwheel::membership {

namespace {

constexpr int kTellingsForEachDoubling = 3;
constexpr int kMostHintTellings = 12;

bool IsSameSubject(const CrashHint& a, const CrashHint& b) {
  return a.fingerprint == b.fingerprint && a.service == b.service &&
         a.worker == b.worker;
}

}  // namespace

int GossipQueue::MostTellings(std::size_t member_count) {
  return kTellingsForEachDoubling *
         static_cast<int>(std::bit_width(member_count));
}

void GossipQueue::AddChange(model::Incarnation incarnation) {
  this->tellings_by_change[incarnation.value] = 0;
}

void GossipQueue::Forget(model::Incarnation incarnation) {
  this->tellings_by_change.erase(incarnation.value);
}

bool GossipQueue::TryAddHint(kernel::Instant now, const CrashHint& hint) {
  std::erase_if(this->hints,
                [now](const auto& held) { return held.expiry <= now; });
  const auto found = std::ranges::find_if(
      this->hints,
      [&hint](const auto& held) { return IsSameSubject(held.hint, hint); });
  if (found != this->hints.end()) {
    if (found->hint.crashes >= hint.crashes) return false;
    *found = {hint, 0, now + kHintLifetime};
    return true;
  }
  // The oldest goes, as it was told most.
  if (this->hints.size() == kMostHints) this->hints.erase(this->hints.begin());
  this->hints.push_back({hint, 0, now + kHintLifetime});
  return true;
}

std::vector<model::Incarnation> GossipQueue::ChangesInOrder() const {
  std::vector<std::pair<int, model::Incarnation>> order;
  order.reserve(this->tellings_by_change.size());
  for (const auto& [incarnation, tellings] : this->tellings_by_change)
    order.emplace_back(tellings, model::Incarnation{incarnation});
  std::ranges::stable_sort(order, {}, [](const auto& e) { return e.first; });
  std::vector<model::Incarnation> changes;
  changes.reserve(order.size());
  for (const auto& [tellings, incarnation] : order)
    changes.push_back(incarnation);
  return changes;
}

std::vector<CrashHint> GossipQueue::HintsInOrder(kernel::Instant now) {
  std::erase_if(this->hints,
                [now](const auto& held) { return held.expiry <= now; });
  std::vector<HeldHint> order;
  for (const auto& held : this->hints) {
    if (held.tellings < kMostHintTellings) order.push_back(held);
  }
  std::ranges::stable_sort(order, {}, &HeldHint::tellings);
  std::vector<CrashHint> result;
  result.reserve(order.size());
  for (auto& held : order) result.push_back(std::move(held.hint));
  return result;
}

void GossipQueue::ChangeTold(model::Incarnation incarnation,
                             std::size_t member_count) {
  const auto found = this->tellings_by_change.find(incarnation.value);
  if (found == this->tellings_by_change.end()) return;
  if (++found->second >= MostTellings(member_count))
    this->tellings_by_change.erase(found);
}

void GossipQueue::HintTold(const CrashHint& hint) {
  for (auto& held : this->hints) {
    if (IsSameSubject(held.hint, hint)) ++held.tellings;
  }
}

}  // namespace burdockwheel::membership
