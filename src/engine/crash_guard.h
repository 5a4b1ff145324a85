// Detects and refuses calls that crash the workers that run them ("query of
// death").
#pragma once

#include <array>
#include <chrono>
#include <cstdint>
#include <deque>
#include <optional>
#include <random>
#include <unordered_map>
#include <vector>

#include "engine/actions.h"
#include "engine/events.h"
#include "kernel/instant.h"
#include "model/identifiers.h"

namespace burdockwheel::engine {

// Counts the worker crashes that follow calls with the same fingerprint, and
// holds the fingerprint after kCrashesToHold crashes fleet-wide: calls with it
// are refused until the hold ends.
//
// Hosts replicate, for each fingerprint, a map from worker to crash count,
// merged by maximum: a grow-only counter (Shapiro et al., "Conflict-Free
// Replicated Data Types", 2011) with an entry per worker instead of per host.
// So a crash that several hosts see, and a duplicate or late report, count
// once. A complete answer releases the fingerprint on every host. A hold
// expires by itself; the score is then halved, and each further hold lasts
// twice as long.
class CrashGuard {
 public:
  static constexpr int kCrashesToHold = 2;
  // Minimum length of the first hold of a fingerprint. The length is drawn at
  // random between this and twice this.
  static constexpr std::chrono::seconds kFirstHold{30};
  // Replaces kFirstHold for a fingerprint answered within kRecentAnswerAge.
  static constexpr std::chrono::seconds kFirstHoldAfterRecentAnswer{1};
  static constexpr std::chrono::seconds kRecentAnswerAge{10};
  static constexpr std::chrono::seconds kMaxHold{960};
  // Delays the retry of a broken call on a second worker, so that reports of
  // peers arrive first.
  static constexpr std::chrono::milliseconds kRetryDelay{50};
  static constexpr std::size_t kMaxSuspicions = 1024;

  explicit CrashGuard(std::uint64_t random_seed);

  // Returns whether calls with the fingerprint are currently refused.
  bool IsHeld(kernel::Instant now, std::uint64_t fingerprint);

  // Returns whether the fingerprint has crashes that are not discounted.
  bool IsSuspected(kernel::Instant now, std::uint64_t fingerprint);

  // Returns the remaining time of the hold, rounded up; zero if there is none.
  std::chrono::milliseconds HoldRemaining(kernel::Instant now,
                                          std::uint64_t fingerprint);

  // Records an attempt whose connection broke after the request was written.
  void RecordBrokenAttempt(kernel::Instant now, std::uint64_t fingerprint,
                           const model::ServiceName& service,
                           const model::WorkerId& worker);

  // Records the complete answer of a worker to an attempt that started at
  // `started_at`.
  void RecordAnsweredAttempt(kernel::Instant now, std::uint64_t fingerprint,
                             const model::WorkerId& worker,
                             kernel::Instant started_at);

  void RecordPeerReport(kernel::Instant now, const CrashSuspected& event);

  // Appends the due reports to peers, and the state changes for the audit log.
  void TakeActions(kernel::Instant now, Actions& actions);

  // Returns when the next report to peers is due, or nothing if none is queued.
  std::optional<kernel::Instant> NextWake() const;

  std::size_t SuspicionCount() const { return this->suspicions.size(); }

 private:
  struct WorkerCrashes {
    model::WorkerId worker;
    int crashes = 0;
    kernel::Instant last_at;
  };

  struct Suspicion {
    model::ServiceName service;
    std::vector<WorkerCrashes> workers;
    int crashes = 0;  // sum over workers
    // Crashes that no longer count, since an answer refuted them or a hold
    // expired.
    int discounted = 0;
    bool is_held = false;
    kernel::Instant held_until;
    kernel::Instant last_crash_at;
    std::chrono::nanoseconds hold{0};  // current hold without jitter

    // Negative if the report of an answer arrived before those of the crashes.
    int Score() const { return this->crashes - this->discounted; }
  };

  struct Report {
    kernel::Instant at;
    ShareCrashSuspicion message;
    int repeats = 0;  // left after this one is sent
  };

  // A break that is counted as a crash until a later answer shows that only the
  // connection failed.
  struct BrokenAttempt {
    kernel::Instant at;
    model::WorkerId worker;
    std::uint64_t fingerprint = 0;
  };

  struct RecentAnswer {
    std::uint64_t fingerprint = 0;
    kernel::Instant at;
  };

  static constexpr std::size_t kRecentAnswerSlots = 4096;

  // Ends expired holds before it returns the suspicion.
  Suspicion* FindCurrentOrNull(kernel::Instant now, std::uint64_t fingerprint);
  Suspicion& FindOrAdd(std::uint64_t fingerprint,
                       const model::ServiceName& service);
  static WorkerCrashes& FindOrAddWorker(Suspicion& suspicion,
                                        const model::WorkerId& worker);
  // Raises `discounted` to `crashes` if it is lower, and releases the hold if
  // the score is then below kCrashesToHold.
  void DiscountCrashes(std::uint64_t fingerprint, Suspicion& suspicion,
                       int crashes, const char* cause);
  void QueueReport(kernel::Instant now, ShareCrashSuspicion message);
  void AddCrashes(kernel::Instant now, std::uint64_t fingerprint,
                  Suspicion& suspicion, WorkerCrashes& worker, int crashes);
  void HoldIfDue(kernel::Instant now, std::uint64_t fingerprint,
                 Suspicion& suspicion);
  std::chrono::nanoseconds NextHold(kernel::Instant now,
                                    std::uint64_t fingerprint,
                                    const Suspicion& suspicion) const;
  void Release(std::uint64_t fingerprint, Suspicion& suspicion,
               const char* cause);
  void DiscountConnectionFailures(kernel::Instant now,
                                  const model::WorkerId& worker,
                                  kernel::Instant started_at);
  void Audit(std::uint64_t fingerprint, const Suspicion& suspicion,
             const char* from, const char* to, const char* cause);
  void RefillReportTokens(kernel::Instant now);
  void EvictOldest();

  std::mt19937_64 random;
  std::unordered_map<std::uint64_t, Suspicion> suspicions;
  std::deque<std::uint64_t> eviction_order;   // of suspicions, oldest first
  std::deque<Report> reports;                 // ordered by time
  std::deque<BrokenAttempt> broken_attempts;  // ordered by time
  std::vector<RecordChange> changes;
  // Indexed by the fingerprint modulo the size; a newer answer overwrites an
  // older one.
  std::vector<RecentAnswer> recent_answers;
  double report_tokens;
  kernel::Instant refilled_at;
};

}  // namespace burdockwheel::engine
