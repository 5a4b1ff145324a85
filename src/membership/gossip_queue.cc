#include "membership/gossip_queue.h"

#include <algorithm>
#include <bit>
#include <utility>

namespace burdockwheel::membership {

namespace {

constexpr int kTransmissionsPerDoubling = 3;
constexpr int kMaxHintTransmissions = 12;

bool IsSameCallAndWorker(const CrashHint& a, const CrashHint& b) {
  return a.fingerprint == b.fingerprint && a.service == b.service &&
         a.worker == b.worker;
}

}  // namespace

int GossipQueue::TransmissionLimit(std::size_t member_count) {
  return kTransmissionsPerDoubling *
         static_cast<int>(std::bit_width(member_count));
}

void GossipQueue::AddChange(model::Incarnation incarnation) {
  this->transmissions_by_incarnation[incarnation.value] = 0;
}

void GossipQueue::Forget(model::Incarnation incarnation) {
  this->transmissions_by_incarnation.erase(incarnation.value);
}

bool GossipQueue::TryAddHint(kernel::Instant now, const CrashHint& hint) {
  std::erase_if(this->hints,
                [now](const auto& queued) { return queued.expiry <= now; });
  const auto found =
      std::ranges::find_if(this->hints, [&hint](const auto& queued) {
        return IsSameCallAndWorker(queued.hint, hint);
      });
  if (found != this->hints.end()) {
    if (found->hint.crashes >= hint.crashes) return false;
    *found = {hint, 0, now + kHintLifetime};
    return true;
  }
  // Removes the hint that was first added earliest; it has usually been sent
  // more often than the others.
  if (this->hints.size() == kMaxHints) this->hints.erase(this->hints.begin());
  this->hints.push_back({hint, 0, now + kHintLifetime});
  return true;
}

std::vector<model::Incarnation> GossipQueue::ChangesBySendCount() const {
  std::vector<std::pair<int, model::Incarnation>> order;
  order.reserve(this->transmissions_by_incarnation.size());
  for (const auto& [incarnation, transmissions] :
       this->transmissions_by_incarnation)
    order.emplace_back(transmissions, model::Incarnation{incarnation});
  std::ranges::stable_sort(order, {}, [](const auto& e) { return e.first; });
  std::vector<model::Incarnation> changes;
  changes.reserve(order.size());
  for (const auto& [transmissions, incarnation] : order)
    changes.push_back(incarnation);
  return changes;
}

std::vector<CrashHint> GossipQueue::RemoveExpiredAndListHints(
    kernel::Instant now) {
  std::erase_if(this->hints,
                [now](const auto& queued) { return queued.expiry <= now; });
  std::vector<QueuedHint> order;
  for (const auto& queued : this->hints) {
    if (queued.transmissions < kMaxHintTransmissions) order.push_back(queued);
  }
  std::ranges::stable_sort(order, {}, &QueuedHint::transmissions);
  std::vector<CrashHint> result;
  result.reserve(order.size());
  for (auto& queued : order) result.push_back(std::move(queued.hint));
  return result;
}

void GossipQueue::RecordChangeSent(model::Incarnation incarnation,
                                   std::size_t member_count) {
  const auto found = this->transmissions_by_incarnation.find(incarnation.value);
  if (found == this->transmissions_by_incarnation.end()) return;
  if (++found->second >= TransmissionLimit(member_count))
    this->transmissions_by_incarnation.erase(found);
}

void GossipQueue::RecordHintSent(const CrashHint& hint) {
  for (auto& queued : this->hints) {
    if (IsSameCallAndWorker(queued.hint, hint)) ++queued.transmissions;
  }
}

}  // namespace burdockwheel::membership
