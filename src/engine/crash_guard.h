// Holds calls that crash the workers that run them ("query of death").
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

// Counts, for each fingerprint, the crashes that followed it, and holds a
// fingerprint once kCrashesToHold were seen fleet-wide.
//
// What hosts know of a fingerprint is a map from worker to a count of its
// crashes, merged by maximum: a grow-only counter (Shapiro et al., "Conflict-
// Free Replicated Data Types", 2011) whose parts belong to workers, not hosts.
// So one crash that several hosts see, and a report that comes twice or late,
// count once. A whole answer clears the fingerprint on every host. A
// hold ends by itself; the score is then halved, and each further hold lasts
// twice as long.
class CrashGuard {
 public:
  static constexpr int kCrashesToHold = 2;
  // The first hold of a fingerprint; drawn between this and its double.
  static constexpr std::chrono::seconds kFirstHold{30};
  // The same for a fingerprint that was recent_answers within kRecentAnswerAge.
  static constexpr std::chrono::seconds kFirstHoldAfterRecentAnswer{1};
  static constexpr std::chrono::seconds kRecentAnswerAge{10};
  static constexpr std::chrono::seconds kMaxHold{960};
  // How long a broken call waits before it is tried on a second worker, so that
  // reports of peers arrive first.
  static constexpr std::chrono::milliseconds kRetryDelay{50};
  static constexpr std::size_t kMaxSuspicions = 1024;

  explicit CrashGuard(std::uint64_t random_seed);

  // Tells whether calls with the fingerprint are refused at present.
  bool IsHeld(kernel::Instant now, std::uint64_t fingerprint);

  // Tells whether a crash followed the fingerprint that is not discounted.
  bool IsSuspected(kernel::Instant now, std::uint64_t fingerprint);

  // Returns how long the hold lasts from now on; zero if there is none.
  std::chrono::milliseconds HoldRemaining(kernel::Instant now,
                                          std::uint64_t fingerprint);

  // An attempt broke after the request was written.
  void RecordBrokenAttempt(kernel::Instant now, std::uint64_t fingerprint,
                           const model::ServiceName& service,
                           const model::WorkerId& worker);

  // A worker gave a whole answer to an attempt that started at `started_at`.
  void RecordAnsweredAttempt(kernel::Instant now, std::uint64_t fingerprint,
                             const model::WorkerId& worker,
                             kernel::Instant started_at);

  void RecordPeerReport(kernel::Instant now, const CrashSuspected& event);

  // Appends the reports to peers that are due and the changes to be audited.
  void TakeActions(kernel::Instant now, Actions& actions);

  // Returns when TakeActions next has something to do, or nothing.
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
    int crashes = 0;     // the sum over workers
    int discounted = 0;  // crashes that count no longer
    bool is_held = false;
    kernel::Instant held_until;
    kernel::Instant last_crash_at;     // the newest crash
    std::chrono::nanoseconds hold{0};  // the length of the present hold

    // Below zero if word of an answer came before that of the crashes.
    int Score() const { return this->crashes - this->discounted; }
  };

  struct Report {
    kernel::Instant at;
    ShareCrashSuspicion message;
    int repeats = 0;  // still to come after this one
  };

  // A break that may yet turn out to be of the connection only.
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

  Suspicion* FindCurrentOrNull(kernel::Instant now, std::uint64_t fingerprint);
  Suspicion& FindOrAdd(std::uint64_t fingerprint,
                       const model::ServiceName& service);
  static WorkerCrashes& FindOrAddWorker(Suspicion& suspicion,
                                        const model::WorkerId& worker);
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
  std::deque<std::uint64_t> eviction_order;  // of the suspicions, oldest first
  std::deque<Report> reports;  // in the eviction_order of their times
  std::deque<BrokenAttempt>
      broken_attempts;  // in the eviction_order of their times
  std::vector<RecordChange> changes;
  std::vector<RecentAnswer> recent_answers;  // direct-mapped by fingerprint
  double report_tokens;
  kernel::Instant refilled_at;
};

}  // namespace burdockwheel::engine
