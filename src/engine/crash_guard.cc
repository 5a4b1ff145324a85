#include "engine/crash_guard.h"

#include <algorithm>
#include <cstdio>
#include <string>
#include <utility>

namespace burdockwheel::engine {

namespace {

// Breaks on one worker within this time of each other count as one crash.
constexpr std::chrono::seconds kSameCrashWindow{1};
// A crash that follows the previous one of a held fingerprint within this time
// does not double the hold again.
constexpr std::chrono::seconds kSameEpisodeWindow{2};
// An answer that arrives at least this long after a break cannot have been in
// transit at the break, so it shows that the worker did not crash.
constexpr std::chrono::milliseconds kMinAnswerDelayAfterBreak{50};
// An answer that arrives later than this after a break does not discount it.
constexpr std::chrono::seconds kMaxBreakAge{2};
constexpr std::size_t kMaxRecordedBreaks = 64;
constexpr std::chrono::milliseconds kReportInterval{100};
constexpr int kReportRepeats = 3;
constexpr int kMaxHeldSkippedPerEviction = 8;
// Limits the reports to peers when a whole failure domain fails at once.
constexpr double kMaxReportsPerSecond = 64;

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
      recent_answers(kRecentAnswerSlots),
      report_tokens(kMaxReportsPerSecond) {}

bool CrashGuard::IsHeld(kernel::Instant now, std::uint64_t fingerprint) {
  const Suspicion* suspicion = this->FindCurrentOrNull(now, fingerprint);
  return suspicion != nullptr && suspicion->is_held;
}

bool CrashGuard::IsSuspected(kernel::Instant now, std::uint64_t fingerprint) {
  const Suspicion* suspicion = this->FindCurrentOrNull(now, fingerprint);
  return suspicion != nullptr && suspicion->Score() > 0;
}

std::chrono::milliseconds CrashGuard::HoldRemaining(kernel::Instant now,
                                                    std::uint64_t fingerprint) {
  const Suspicion* suspicion = this->FindCurrentOrNull(now, fingerprint);
  if (suspicion == nullptr || !suspicion->is_held)
    return std::chrono::milliseconds(0);
  return std::chrono::ceil<std::chrono::milliseconds>(suspicion->held_until -
                                                      now);
}

void CrashGuard::RecordBrokenAttempt(kernel::Instant now,
                                     std::uint64_t fingerprint,
                                     const model::ServiceName& service,
                                     const model::WorkerId& worker) {
  Suspicion& suspicion = this->FindOrAdd(fingerprint, service);
  WorkerCrashes& worker_crashes = FindOrAddWorker(suspicion, worker);
  const bool is_same_crash = worker_crashes.crashes > 0 &&
                             now - worker_crashes.last_at < kSameCrashWindow;
  const int crashes =
      is_same_crash ? worker_crashes.crashes : worker_crashes.crashes + 1;
  this->AddCrashes(now, fingerprint, suspicion, worker_crashes, crashes);
  if (this->broken_attempts.size() >= kMaxRecordedBreaks)
    this->broken_attempts.pop_front();
  this->broken_attempts.push_back({now, worker, fingerprint});
  this->QueueReport(now, {fingerprint, service, worker, crashes});
}

void CrashGuard::RecordAnsweredAttempt(kernel::Instant now,
                                       std::uint64_t fingerprint,
                                       const model::WorkerId& worker,
                                       kernel::Instant started_at) {
  this->recent_answers[fingerprint % kRecentAnswerSlots] = {fingerprint, now};
  if (this->suspicions.empty()) return;
  this->DiscountConnectionFailures(now, worker, started_at);
  Suspicion* suspicion = this->FindCurrentOrNull(now, fingerprint);
  if (suspicion == nullptr || suspicion->Score() <= 0) return;
  this->DiscountCrashes(fingerprint, *suspicion, suspicion->crashes,
                        "answered");
  std::erase_if(this->reports, [fingerprint](const Report& report) {
    return report.message.fingerprint == fingerprint;
  });
  this->QueueReport(now, {fingerprint,
                          suspicion->service,
                          {std::string(kAnsweredWorkerPlaceholder)},
                          suspicion->discounted});
}

void CrashGuard::RecordPeerReport(kernel::Instant now,
                                  const CrashSuspected& event) {
  Suspicion& suspicion = this->FindOrAdd(event.fingerprint, event.service);
  if (event.worker.value == kAnsweredWorkerPlaceholder) {
    this->recent_answers[event.fingerprint % kRecentAnswerSlots] = {
        event.fingerprint, now};
    this->DiscountCrashes(event.fingerprint, suspicion, event.crashes,
                          "answered-elsewhere");
    return;
  }
  WorkerCrashes& worker_crashes = FindOrAddWorker(suspicion, event.worker);
  if (event.crashes <= worker_crashes.crashes) return;
  this->AddCrashes(now, event.fingerprint, suspicion, worker_crashes,
                   event.crashes);
}

void CrashGuard::TakeActions(kernel::Instant now, Actions& actions) {
  while (!this->reports.empty() && this->reports.front().at <= now) {
    Report report = std::move(this->reports.front());
    this->reports.pop_front();
    actions.emplace_back(report.message);
    if (report.repeats == 0) continue;
    report.repeats -= 1;
    report.at = now + kReportInterval;
    this->reports.push_back(std::move(report));
  }
  for (RecordChange& change : this->changes)
    actions.emplace_back(std::move(change));
  this->changes.clear();
}

std::optional<kernel::Instant> CrashGuard::NextWake() const {
  if (this->reports.empty()) return std::nullopt;
  return this->reports.front().at;
}

CrashGuard::Suspicion* CrashGuard::FindCurrentOrNull(
    kernel::Instant now, std::uint64_t fingerprint) {
  if (this->suspicions.empty()) return nullptr;
  const auto found = this->suspicions.find(fingerprint);
  if (found == this->suspicions.end()) return nullptr;
  Suspicion& suspicion = found->second;
  while (suspicion.is_held && suspicion.held_until <= now) {
    suspicion.discounted += (suspicion.Score() + 1) / 2;
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
  if (this->suspicions.size() >= kMaxSuspicions) this->EvictOldest();
  this->eviction_order.push_back(fingerprint);
  Suspicion& suspicion = this->suspicions[fingerprint];
  suspicion.service = service;
  return suspicion;
}

CrashGuard::WorkerCrashes& CrashGuard::FindOrAddWorker(
    Suspicion& suspicion, const model::WorkerId& worker) {
  for (WorkerCrashes& worker_crashes : suspicion.workers) {
    if (worker_crashes.worker == worker) return worker_crashes;
  }
  return suspicion.workers.emplace_back(WorkerCrashes{worker, 0, {}});
}

// Keeps the larger of the known and the reported number, like the crash counts,
// so that the order in which reports arrive does not matter.
void CrashGuard::DiscountCrashes(std::uint64_t fingerprint,
                                 Suspicion& suspicion, int crashes,
                                 const char* cause) {
  if (crashes <= suspicion.discounted) return;
  suspicion.discounted = crashes;
  if (suspicion.Score() >= kCrashesToHold) return;
  suspicion.hold = std::chrono::nanoseconds(0);
  this->Release(fingerprint, suspicion, cause);
}

void CrashGuard::QueueReport(kernel::Instant now, ShareCrashSuspicion message) {
  this->RefillReportTokens(now);
  if (this->report_tokens < 1) return;
  this->report_tokens -= 1;
  // The report is due at once, so it precedes the repeats of earlier ones.
  this->reports.push_front({now, std::move(message), kReportRepeats});
}

void CrashGuard::AddCrashes(kernel::Instant now, std::uint64_t fingerprint,
                            Suspicion& suspicion, WorkerCrashes& worker,
                            int crashes) {
  this->FindCurrentOrNull(now, fingerprint);
  suspicion.crashes += crashes - worker.crashes;
  worker.crashes = crashes;
  worker.last_at = now;
  this->HoldIfDue(now, fingerprint, suspicion);
}

void CrashGuard::HoldIfDue(kernel::Instant now, std::uint64_t fingerprint,
                           Suspicion& suspicion) {
  if (suspicion.Score() < kCrashesToHold) return;
  const bool was_held = suspicion.is_held;
  // A crash during the hold means that the hold of another host expired and the
  // call crashed a worker again. This host's hold is too short as well.
  const bool is_new_episode =
      now - suspicion.last_crash_at > kSameEpisodeWindow;
  if (!was_held || is_new_episode)
    suspicion.hold = this->NextHold(now, fingerprint, suspicion);
  suspicion.last_crash_at = now;
  // Hosts draw different lengths, so that the host whose hold expires first can
  // report to the others in time if the call still crashes workers.
  const double jitter_factor =
      std::uniform_real_distribution<>(1, 2)(this->random);
  const auto length = std::chrono::duration_cast<std::chrono::nanoseconds>(
      suspicion.hold * jitter_factor);
  suspicion.is_held = true;
  suspicion.held_until = std::max(suspicion.held_until, now + length);
  if (!was_held) this->Audit(fingerprint, suspicion, "free", "held", "crashes");
}

std::chrono::nanoseconds CrashGuard::NextHold(
    kernel::Instant now, std::uint64_t fingerprint,
    const Suspicion& suspicion) const {
  if (suspicion.hold > std::chrono::nanoseconds(0))
    return std::min<std::chrono::nanoseconds>(suspicion.hold * 2, kMaxHold);
  const RecentAnswer& recent_answer =
      this->recent_answers[fingerprint % kRecentAnswerSlots];
  const bool is_recently_answered = recent_answer.fingerprint == fingerprint &&
                                    now - recent_answer.at < kRecentAnswerAge;
  if (is_recently_answered) return kFirstHoldAfterRecentAnswer;
  return kFirstHold;
}

void CrashGuard::Release(std::uint64_t fingerprint, Suspicion& suspicion,
                         const char* cause) {
  if (!suspicion.is_held) return;
  suspicion.is_held = false;
  this->Audit(fingerprint, suspicion, "held", "free", cause);
}

void CrashGuard::DiscountConnectionFailures(kernel::Instant now,
                                            const model::WorkerId& worker,
                                            kernel::Instant started_at) {
  while (!this->broken_attempts.empty() &&
         now - this->broken_attempts.front().at > kMaxBreakAge)
    this->broken_attempts.pop_front();
  for (auto entry = this->broken_attempts.begin();
       entry != this->broken_attempts.end();) {
    // A crash ends every attempt that the worker runs. An attempt that started
    // before the break and is answered well after it shows that the worker did
    // not crash.
    const bool is_connection_failure =
        entry->worker == worker && started_at < entry->at &&
        now - entry->at >= kMinAnswerDelayAfterBreak;
    if (!is_connection_failure) {
      ++entry;
      continue;
    }
    Suspicion* suspicion = this->FindCurrentOrNull(now, entry->fingerprint);
    const std::uint64_t fingerprint = entry->fingerprint;
    entry = this->broken_attempts.erase(entry);
    if (suspicion == nullptr || suspicion->Score() <= 0) continue;
    suspicion->discounted += 1;
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

void CrashGuard::RefillReportTokens(kernel::Instant now) {
  const std::chrono::duration<double> passed = now - this->refilled_at;
  this->refilled_at = now;
  this->report_tokens =
      std::min(this->report_tokens + passed.count() * kMaxReportsPerSecond,
               kMaxReportsPerSecond);
}

void CrashGuard::EvictOldest() {
  // Moves up to kMaxHeldSkippedPerEviction held fingerprints to the back
  // instead of evicting them, so that many new fingerprints with a single break
  // each do not end their holds.
  for (int passed = 0; passed < kMaxHeldSkippedPerEviction; ++passed) {
    const std::uint64_t oldest = this->eviction_order.front();
    if (!this->suspicions[oldest].is_held) break;
    this->eviction_order.pop_front();
    this->eviction_order.push_back(oldest);
  }
  this->suspicions.erase(this->eviction_order.front());
  this->eviction_order.pop_front();
}

}  // namespace burdockwheel::engine
