#include "engine/admission_queue.h"

#include <algorithm>
#include <string>
#include <unordered_map>
#include <utility>

namespace burdockwheel::engine {

namespace {

// Used for a kind's slot time until its first call has ended.
constexpr double kDefaultServiceTimeSeconds = 0.01;
// When a call of a kind without waiting calls arrives, the kind's pass is
// raised, if it is lower, to this much below virtual_time (in seconds of slot
// time for each unit of weight). So the kind makes up for the turns missed in a
// gap between two calls, but not for a longer idle time.
constexpr double kMaxIdleCreditSeconds = 0.05;
constexpr double kSmoothingFactor = 0.05;  // weight of the newest sample

double Seconds(std::chrono::nanoseconds time) {
  return std::chrono::duration<double>(time).count();
}

}  // namespace

void AdmissionQueue::Update(const model::QueueLimits& limits,
                            const std::vector<model::CallKind>& kinds,
                            Calls& dropped) {
  this->limits = limits;
  std::vector<Kind> old = std::exchange(this->kinds, {});
  std::unordered_multimap<std::string, std::size_t> old_by_name;
  for (std::size_t index = 0; index < old.size(); ++index)
    old_by_name.emplace(old[index].name, index);
  this->kinds.reserve(kinds.size());
  for (const auto& definition : kinds) {
    const auto found = old_by_name.find(definition.name);
    Kind kind;
    if (found != old_by_name.end()) {
      // Leaves an empty kind in `old`, so that only removed kinds have calls.
      kind = std::exchange(old[found->second], {});
      old_by_name.erase(found);
    }
    kind.name = definition.name;
    kind.weight = std::max(definition.weight, 1);
    this->kinds.push_back(std::move(kind));
  }
  for (Kind& removed : old) {
    while (!removed.calls.empty()) this->DropOldest(removed, dropped);
  }
}

void AdmissionQueue::Add(std::size_t kind, const WaitingCall& waiting,
                         Calls& dropped) {
  if (kind >= this->kinds.size()) {
    dropped.push_back(waiting.call);
    return;
  }
  if (this->size == 0) this->non_empty_since = waiting.queued_at;
  Kind& target = this->kinds[kind];
  if (target.calls.empty())
    target.pass =
        std::max(target.pass, this->virtual_time - kMaxIdleCreditSeconds);
  target.calls.push_back(waiting);
  this->size += 1;
  const auto most_calls =
      static_cast<std::size_t>(std::max(this->limits.most_calls, 1));
  while (this->protections.is_bounded && this->size > most_calls)
    this->DropOldest(this->KindWithMostCallsPerWeight(), dropped);
}

std::optional<model::CallId> AdmissionQueue::TryTake(kernel::Instant now,
                                                     Calls& dropped) {
  this->Expire(now, dropped);
  const bool is_newest_first =
      this->protections.is_newest_first && this->IsOverloaded(now);
  while (Kind* kind = this->NextKindOrNull()) {
    const WaitingCall waiting = this->TakeFrom(*kind, is_newest_first);
    if (this->protections.is_bounded && waiting.start_by < now) {
      dropped.push_back(waiting.call);
      continue;
    }
    this->Charge(*kind);
    return waiting.call;
  }
  return std::nullopt;
}

void AdmissionQueue::Expire(kernel::Instant now, Calls& dropped) {
  if (this->size == 0 || !this->protections.is_bounded) return;
  const kernel::Instant oldest = now - this->MaxWait(now);
  for (Kind& kind : this->kinds) {
    while (!kind.calls.empty() && kind.calls.front().queued_at <= oldest)
      this->DropOldest(kind, dropped);
  }
}

void AdmissionQueue::DropAll(Calls& dropped) {
  for (Kind& kind : this->kinds) {
    while (!kind.calls.empty()) this->DropOldest(kind, dropped);
  }
}

void AdmissionQueue::Remove(std::size_t kind, model::CallId call) {
  if (kind >= this->kinds.size()) return;
  auto& calls = this->kinds[kind].calls;
  const auto is_call = [call](const WaitingCall& waiting) {
    return waiting.call == call;
  };
  const auto found = std::find_if(calls.begin(), calls.end(), is_call);
  if (found == calls.end()) return;
  calls.erase(found);
  this->size -= 1;
}

void AdmissionQueue::ObserveServiceTime(std::size_t kind,
                                        std::chrono::nanoseconds time) {
  if (kind >= this->kinds.size()) return;
  double& service_time = this->kinds[kind].service_time;
  const double sample = Seconds(time);
  if (service_time == 0) service_time = sample;
  service_time += kSmoothingFactor * (sample - service_time);
}

bool AdmissionQueue::IsOverloaded(kernel::Instant now) const {
  return this->size > 0 && now - this->non_empty_since > kOverloadAfter;
}

std::optional<kernel::Instant> AdmissionQueue::NextWake(
    kernel::Instant now) const {
  if (this->size == 0) return std::nullopt;
  auto oldest = kernel::Instant::max();
  for (const Kind& kind : this->kinds) {
    if (kind.calls.empty()) continue;
    oldest = std::min(oldest, kind.calls.front().queued_at);
  }
  return oldest + this->MaxWait(now);
}

std::chrono::nanoseconds AdmissionQueue::MaxWait(kernel::Instant now) const {
  const std::chrono::nanoseconds usual = this->limits.most_wait;
  if (!this->IsOverloaded(now)) return usual;
  return usual / kOverloadWaitDivisor;
}

AdmissionQueue::Kind* AdmissionQueue::NextKindOrNull() {
  Kind* next = nullptr;
  const auto goes_before = [this](const Kind& left, const Kind& right) {
    if (!this->protections.is_weighted)
      return left.calls.front().queued_at < right.calls.front().queued_at;
    return left.pass < right.pass;
  };
  for (Kind& kind : this->kinds) {
    if (kind.calls.empty()) continue;
    if (next == nullptr || goes_before(kind, *next)) next = &kind;
  }
  return next;
}

AdmissionQueue::Kind& AdmissionQueue::KindWithMostCallsPerWeight() {
  const auto is_shorter = [](const Kind& left, const Kind& right) {
    return static_cast<double>(left.calls.size()) / left.weight <
           static_cast<double>(right.calls.size()) / right.weight;
  };
  return *std::max_element(this->kinds.begin(), this->kinds.end(), is_shorter);
}

void AdmissionQueue::Charge(Kind& kind) {
  this->virtual_time = kind.pass;
  const double cost =
      kind.service_time > 0 ? kind.service_time : kDefaultServiceTimeSeconds;
  kind.pass += cost / kind.weight;
}

void AdmissionQueue::DropOldest(Kind& kind, Calls& dropped) {
  dropped.push_back(kind.calls.front().call);
  kind.calls.pop_front();
  this->size -= 1;
}

AdmissionQueue::WaitingCall AdmissionQueue::TakeFrom(Kind& kind,
                                                     bool is_newest_first) {
  const WaitingCall waiting =
      is_newest_first ? kind.calls.back() : kind.calls.front();
  if (is_newest_first)
    kind.calls.pop_back();
  else
    kind.calls.pop_front();
  this->size -= 1;
  return waiting;
}

}  // namespace burdockwheel::engine
