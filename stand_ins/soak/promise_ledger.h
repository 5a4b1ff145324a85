// Judges what callers and workers of a soak have seen.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "kernel/instant.h"
#include "stand_ins/soak/disturbance_log.h"
#include "stand_ins/soak/promise.h"

namespace burdockwheel::stand_ins {

// A request as its caller sent it.
struct SoakRequest {
  std::string id;
  std::size_t host = 0;
  std::string route;
  bool is_idempotent = true;
  std::string target;
  std::string body;
  int attempts = 2;                       // workers that the route allows
  std::chrono::milliseconds timeout{0};   // of the route
  std::chrono::milliseconds patience{0};  // of the caller
};

// The end of a request as its caller saw it.
struct SoakAnswer {
  int status = 0;
  std::string request_id;  // empty: the answer names none
  std::string seal;        // empty: it carries none
  std::string body;
  bool has_surplus = false;  // more bytes follow that nobody asked for
};

// A request at a worker.
struct SoakArrival {
  std::string id;
  std::string worker;
  std::string service;
  std::string target;
  std::string body;
  std::chrono::milliseconds time_left{0};  // as the worker was told
};

struct SoakCounts {
  std::int64_t sent = 0;
  std::int64_t served = 0;
  std::int64_t refused = 0;  // with the promise that it has not run
  std::int64_t failed = 0;
  std::int64_t closed = 0;  // without a whole answer
  std::int64_t left = 0;    // by the caller
  std::int64_t runs = 0;
  std::int64_t repeats = 0;  // arrivals beyond the first of each request
};

// Pure: times come as arguments and never fall from one call to the next.
class PromiseLedger {
 public:
  // The bounds of the platform's page for the deployments of today.
  static constexpr std::chrono::milliseconds kApply{2000};
  static constexpr std::chrono::milliseconds kDrain{2000};
  static constexpr std::chrono::milliseconds kRollbackSlack{250};
  static constexpr int kDisturbedRollback = 8;  // times as long
  static constexpr std::chrono::milliseconds kLossSlack{200};
  static constexpr std::chrono::milliseconds kStopTail{1000};
  static constexpr std::chrono::milliseconds kAnswerSlack{500};
  static constexpr std::chrono::milliseconds kCancelSlack{500};
  static constexpr std::chrono::milliseconds kTimeSlack{500};
  static constexpr std::chrono::milliseconds kRetryWindow{10000};
  static constexpr double kRetryRatio = 0.2;
  static constexpr int kRetrySlack = 64;
  static constexpr int kCrashesBeforeBound = 3;
  static constexpr int kMostPoisonedRetries = 3;
  static constexpr int kMostLostAnswers = 3;
  static constexpr double kLeastServedAfterRecovery = 0.25;
  // A third of the page's 15 s, so that runs stay short.
  static constexpr std::chrono::milliseconds kRecovery{5000};

  explicit PromiseLedger(std::chrono::milliseconds grace) : grace(grace) {}

  DisturbanceLog& Disturbances() { return this->disturbances; }
  // Stops, starts and reloads that the operators ask for.
  DisturbanceLog& PlannedWork() { return this->planned_work; }

  // What was done to the system.
  void ConfigurationSent(std::uint64_t version,
                         const std::map<std::string, std::string>& services);
  void ConfigurationAcknowledged(kernel::Instant now, std::uint64_t version);
  void WorkerLeaves(kernel::Instant now, const std::string& worker);
  void HostStarted(std::size_t host);
  void StopAsked(kernel::Instant now, std::size_t host);
  // The host's process ended although nobody had asked for it.
  void HostEnded(std::size_t host);

  // What callers saw.
  void Sent(kernel::Instant now, const SoakRequest& request);
  void Answered(kernel::Instant now, const std::string& id,
                const SoakAnswer& answer);
  // The answer broke the rules of HTTP.
  void Malformed(kernel::Instant now, const std::string& id);
  void Closed(kernel::Instant now, const std::string& id);
  void Left(kernel::Instant now, const std::string& id);
  // Tells whether the request has not ended.
  bool IsOpen(const std::string& id) const;

  // What workers saw.
  void Arrived(kernel::Instant now, const SoakArrival& arrival);
  void RunBegun(kernel::Instant now, const SoakArrival& arrival,
                kernel::Instant planned_end);
  void RunEnded(kernel::Instant now, const std::string& id,
                const std::string& worker);
  void WorkerCrashedBy(kernel::Instant now, const std::string& id);
  // The worker has written an answer with this seal.
  void Sealed(const std::string& id, const std::string& seal, int status,
              std::string body);

  // Judges what only the whole run can tell.
  void Finish(kernel::Instant now);

  const std::vector<Violation>& Violations() const { return this->violations; }
  const SoakCounts& Counts() const { return this->counts; }

  static std::string HostPart(std::size_t host);
  static std::string WorkerPart(const std::string& worker);
  static constexpr std::string_view kStorePart = "store";
  // The machine that runs the soak; it disturbs all parts.
  static constexpr std::string_view kMachinePart = "machine";

 private:
  struct Written {
    int status = 0;
    std::string body;
  };
  struct Run {
    std::string worker;
    kernel::Instant planned_end;
    std::optional<kernel::Instant> ended_at;
  };
  struct Record {
    SoakRequest request;
    std::uint64_t life = 0;  // of the host that it was sent to
    kernel::Instant sent_at;
    std::optional<kernel::Instant> ended_at;
    std::optional<kernel::Instant> left_at;
    bool is_promised_not_run = false;
    bool is_served = false;
    std::vector<std::string> arrivals;  // workers
    std::vector<Run> runs;
    std::map<std::string, Written> written;  // by seal
  };
  struct Version {
    std::uint64_t number = 0;
    std::map<std::string, std::string> services;  // by route
    std::optional<kernel::Instant> acknowledged_at;
  };
  // The least version that a host's runs have shown, and since when.
  struct Shown {
    std::size_t version = 0;  // index
    kernel::Instant at;
  };
  struct HostState {
    std::uint64_t life = 0;
    std::vector<Shown> shown;
    std::optional<kernel::Instant> stop_asked_at;
  };

  void Add(Promise promise, std::string evidence);
  Record* FindOrNull(const std::string& id);
  bool IsInTouch(std::size_t host, kernel::Instant from,
                 kernel::Instant to) const;
  void CheckDrain(kernel::Instant now, const SoakArrival& arrival,
                  const Record& record);
  void CheckVersion(kernel::Instant now, const SoakArrival& arrival,
                    const Record& record);
  void CheckNeverBack(kernel::Instant now, const SoakArrival& arrival,
                      const Record& record);
  bool IsAllowedFrom(std::size_t first_version, const std::string& route,
                     const std::string& service) const;
  void JudgeRetryBudget();
  void JudgeCancelled();
  void JudgeTimes();
  void JudgeRecovery(kernel::Instant now);

  std::chrono::milliseconds grace;
  DisturbanceLog disturbances;
  DisturbanceLog planned_work;
  std::unordered_map<std::string, Record> records;
  std::vector<Version> versions;  // in the order in which they were sent
  std::map<std::string, kernel::Instant> leaving;  // workers
  std::map<std::size_t, HostState> hosts;
  // By service, in the order of time.
  std::map<std::string, std::vector<kernel::Instant>> requests;
  std::map<std::string, std::vector<kernel::Instant>> repeats;
  // Calls that crash workers, by target.
  std::map<std::string, int> crashes;
  std::map<std::string, kernel::Instant> bounded_since;
  std::map<std::string, std::set<std::string>> poisoned_retries;
  std::vector<std::string> lost;
  SoakCounts counts;
  std::vector<Violation> violations;
};

}  // namespace burdockwheel::stand_ins
