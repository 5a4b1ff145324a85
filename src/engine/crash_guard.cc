#include "engine/crash_guard.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>

namespace burdockwheel::engine {

namespace {

// Breaks of one worker that are closer than this are one crash.
constexpr std::chrono::seconds kSameCrash{1};
// Crashes of one fingerprint that are closer than this lengthen its hold once.
constexpr std::chrono::seconds kSameEpisode{2};
// An answer that a worker gives this long after a break was not on its way
// before it, so that the worker lived on.
constexpr std::chrono::milliseconds kSettled{50};
constexpr std::chrono::seconds kBreakAge{2};
constexpr std::size_t kMostBreaks = 64;
constexpr std::chrono::milliseconds kShareGap{100};
constexpr int kShareRepeats = 3;
// Bounds the reports when a whole failure domain breaks at once.
constexpr int kMostPassedOver = 8;  // held fingerprints, in one eviction
constexpr double kMostSharesPerSecond = 64;

std::string FingerprintName(std::uint64_t fingerprint) {
  std::array<char, 32> text{};
  const int length =
      std::snprintf(text.data(), text.size(), "fingerprint %016llx",
                    static_cast<unsigned long long>(fingerprint));
  return {text.data(), static_cast<std::size_t>(length)};
}

}  // namespace

CrashGuard::CrashGuard(std::uint64_t random_seed)
    : random(random_seed),
      answered(kAnsweredSlots),
      share_tokens(kMostSharesPerSecond) {}

bool CrashGuard::IsHeld(kernel::Instant now, std::uint64_t fingerprint) {
  const Suspicion* suspicion = this->FindSettledOrNull(now, fingerprint);
  return suspicion != nullptr && suspicion->is_held;
}

bool CrashGuard::IsSuspected(kernel::Instant now, std::uint64_t fingerprint) {
  const Suspicion* suspicion = this->FindSettledOrNull(now, fingerprint);
  return suspicion != nullptr && suspicion->Score() > 0;
}

std::chrono::milliseconds CrashGuard::HoldRemaining(kernel::Instant now,
                                                    std::uint64_t fingerprint) {
  const Suspicion* suspicion = this->FindSettledOrNull(now, fingerprint);
  if (suspicion == nullptr || !suspicion->is_held)
    return std::chrono::milliseconds(0);
  return std::chrono::ceil<std::chrono::milliseconds>(suspicion->held_until -
                                                      now);
}

void CrashGuard::AttemptBroke(kernel::Instant now, std::uint64_t fingerprint,
                              const model::ServiceName& service,
                              const model::WorkerId& worker) {
  Suspicion& suspicion = this->FindOrAdd(fingerprint, service);
  WorkerCrashes& known = FindOrAddWorker(suspicion, worker);
  const bool is_same_crash =
      known.crashes > 0 && now - known.last_at < kSameCrash;
  const int crashes = is_same_crash ? known.crashes : known.crashes + 1;
  this->Raise(now, fingerprint, suspicion, known, crashes);
  if (this->breaks.size() >= kMostBreaks) this->breaks.pop_front();
  this->breaks.push_back({now, worker, fingerprint});
  this->ShareWithPeers(now, {fingerprint, service, worker, crashes});
}
void CrashGuard::AttemptAnswered(kernel::Instant now, std::uint64_t fingerprint,
                                 const model::WorkerId& worker,
                                 kernel::Instant started_at) {
  this->answered[fingerprint % kAnsweredSlots] = {fingerprint, now};
  if (this->suspicions.empty()) return;
  this->WithdrawBreaksOf(now, worker, started_at);
  Suspicion* suspicion = this->FindSettledOrNull(now, fingerprint);
  if (suspicion == nullptr || suspicion->Score() <= 0) return;
  this->Forgive(fingerprint, *suspicion, suspicion->crashes, "answered");
  std::erase_if(this->shares, [fingerprint](const Share& share) {
    return share.message.fingerprint == fingerprint;
  });
  this->ShareWithPeers(now, {fingerprint,
                             suspicion->service,
                             {std::string(kAnsweredWorkerPlaceholder)},
                             suspicion->forgiven});
}
void CrashGuard::PeerSuspects(kernel::Instant now,
                              const CrashSuspected& event) {
  Suspicion& suspicion = this->FindOrAdd(event.fingerprint, event.service);
  if (event.worker.value == kAnsweredWorkerPlaceholder) {
    this->answered[event.fingerprint % kAnsweredSlots] = {event.fingerprint,
                                                          now};
    this->Forgive(event.fingerprint, suspicion, event.crashes,
                  "answered-elsewhere");
    return;
  }
  WorkerCrashes& known = FindOrAddWorker(suspicion, event.worker);
  if (event.crashes <= known.crashes) return;
  this->Raise(now, event.fingerprint, suspicion, known, event.crashes);
}

void CrashGuard::TakeActions(kernel::Instant now, Actions& actions) {
  while (!this->shares.empty() && this->shares.front().at <= now) {
    Share share = std::move(this->shares.front());
    this->shares.pop_front();
    actions.emplace_back(share.message);
    if (share.repeats == 0) continue;
    share.repeats -= 1;
    share.at = now + kShareGap;
    this->shares.push_back(std::move(share));
  }
  for (RecordChange& change : this->changes)
    actions.emplace_back(std::move(change));
  this->changes.clear();
}

std::optional<kernel::Instant> CrashGuard::NextWake() const {
  if (this->shares.empty()) return std::nullopt;
  return this->shares.front().at;
}

CrashGuard::Suspicion* CrashGuard::FindSettledOrNull(
    kernel::Instant now, std::uint64_t fingerprint) {
  if (this->suspicions.empty()) return nullptr;
  const auto found = this->suspicions.find(fingerprint);
  if (found == this->suspicions.end()) return nullptr;
  Suspicion& suspicion = found->second;
  while (suspicion.is_held && suspicion.held_until <= now) {
    suspicion.forgiven += (suspicion.Score() + 1) / 2;
    suspicion.held_until += suspicion.hold;
    if (suspicion.Score() < kCrashesToHold)
      this->Release(fingerprint, suspicion, "hold-over");
  }
  return &suspicion;
}

CrashGuard::Suspicion& CrashGuard::FindOrAdd(
    std::uint64_t fingerprint, const model::ServiceName& service) {
  const auto found = this->suspicions.find(fingerprint);
  if (found != this->suspicions.end()) return found->second;
  if (this->suspicions.size() >= kMostSuspicions) this->EvictOldest();
  this->order.push_back(fingerprint);
  Suspicion& suspicion = this->suspicions[fingerprint];
  suspicion.service = service;
  return suspicion;
}

CrashGuard::WorkerCrashes& CrashGuard::FindOrAddWorker(
    Suspicion& suspicion, const model::WorkerId& worker) {
  for (WorkerCrashes& known : suspicion.workers) {
    if (known.worker == worker) return known;
  }
  return suspicion.workers.emplace_back(WorkerCrashes{worker, 0, {}});
}

// A maximum like the crashes, so that the order in which word comes does not
// matter.
void CrashGuard::Forgive(std::uint64_t fingerprint, Suspicion& suspicion,
                         int crashes, const char* cause) {
  if (crashes <= suspicion.forgiven) return;
  suspicion.forgiven = crashes;
  if (suspicion.Score() >= kCrashesToHold) return;
  suspicion.hold = std::chrono::nanoseconds(0);
  this->Release(fingerprint, suspicion, cause);
}

void CrashGuard::ShareWithPeers(kernel::Instant now,
                                ShareCrashSuspicion message) {
  this->RefillShareTokens(now);
  if (this->share_tokens < 1) return;
  this->share_tokens -= 1;
  // Due at once: it goes before the repeats of earlier ones.
  this->shares.push_front({now, std::move(message), kShareRepeats});
}

void CrashGuard::Raise(kernel::Instant now, std::uint64_t fingerprint,
                       Suspicion& suspicion, WorkerCrashes& worker,
                       int crashes) {
  this->FindSettledOrNull(now, fingerprint);
  suspicion.crashes += crashes - worker.crashes;
  worker.crashes = crashes;
  worker.last_at = now;
  this->HoldIfDue(now, fingerprint, suspicion);
}

void CrashGuard::HoldIfDue(kernel::Instant now, std::uint64_t fingerprint,
                           Suspicion& suspicion) {
  if (suspicion.Score() < kCrashesToHold) return;
  const bool was_held = suspicion.is_held;
  // A crash during the hold comes of a host that let the call through again, so
  // that the hold was too short here too.
  const bool is_relapse = now - suspicion.raised_at > kSameEpisode;
  if (!was_held || is_relapse)
    suspicion.hold = this->NextHold(now, fingerprint, suspicion);
  suspicion.raised_at = now;
  // Hosts draw different lengths, so that the first to let the call through
  // tells the others in time if it still crashes workers.
  const double stretch = std::uniform_real_distribution<>(1, 2)(this->random);
  const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(
      suspicion.hold * stretch);
  suspicion.is_held = true;
  suspicion.held_until = std::max(suspicion.held_until, now + length);
  if (!was_held) this->Audit(fingerprint, suspicion, "free", "held", "crashes");
}

std::chrono::nanoseconds CrashGuard::NextHold(
    kernel::Instant now, std::uint64_t fingerprint,
    const Suspicion& suspicion) const {
  if (suspicion.hold > std::chrono::nanoseconds(0))
    return std::min<std::chrono::nanoseconds>(suspicion.hold * 2, kLongestHold);
  const Answered& proof = this->answered[fingerprint % kAnsweredSlots];
  const bool is_proven =
      proof.fingerprint == fingerprint && now - proof.at < kProofAge;
  if (is_proven) return kFirstHoldOfProven;
  return kFirstHold;
}

void CrashGuard::Release(std::uint64_t fingerprint, Suspicion& suspicion,
                         const char* cause) {
  if (!suspicion.is_held) return;
  suspicion.is_held = false;
  this->Audit(fingerprint, suspicion, "held", "free", cause);
}

void CrashGuard::WithdrawBreaksOf(kernel::Instant now,
                                  const model::WorkerId& worker,
                                  kernel::Instant started_at) {
  while (!this->breaks.empty() && now - this->breaks.front().at > kBreakAge)
    this->breaks.pop_front();
  for (auto entry = this->breaks.begin(); entry != this->breaks.end();) {
    // A crash ends every attempt that the worker runs. One that began before
    // the break and is answered well after it shows that there was no crash.
    const bool is_withdrawn = entry->worker == worker &&
                              started_at < entry->at &&
                              now - entry->at >= kSettled;
    if (!is_withdrawn) {
      ++entry;
      continue;
    }
    Suspicion* suspicion = this->FindSettledOrNull(now, entry->fingerprint);
    const std::uint64_t fingerprint = entry->fingerprint;
    entry = this->breaks.erase(entry);
    if (suspicion == nullptr || suspicion->Score() <= 0) continue;
    suspicion->forgiven += 1;
    if (suspicion->Score() < kCrashesToHold)
      this->Release(fingerprint, *suspicion, "worker-alive");
  }
}

void CrashGuard::Audit(std::uint64_t fingerprint, const Suspicion& suspicion,
                       const char* from, const char* to, const char* cause) {
  this->changes.push_back({FingerprintName(fingerprint), from, to, cause,
                           "crashes=" + std::to_string(suspicion.crashes) +
                               " score=" + std::to_string(suspicion.Score())});
}

void CrashGuard::RefillShareTokens(kernel::Instant now) {
  const std::chrono::duration<double> passed = now - this->refilled_at;
  this->refilled_at = now;
  this->share_tokens =
      std::min(this->share_tokens + passed.count() * kMostSharesPerSecond,
               kMostSharesPerSecond);
}

void CrashGuard::EvictOldest() {
  // Held fingerprints are passed over once, so that a flood of single breaks
  // does not free them at once.
  for (int passed = 0; passed < kMostPassedOver; ++passed) {
    const std::uint64_t oldest = this->order.front();
    if (!this->suspicions[oldest].is_held) break;
    this->order.pop_front();
    this->order.push_back(oldest);
  }
  this->suspicions.erase(this->order.front());
  this->order.pop_front();
}

}  // namespace burdockwheel::engine
