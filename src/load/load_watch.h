// Decides which workers a host asks for their load, so that the hosts of a
// failure domain share the asking.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/instant.h"
#include "load/load_digest.h"
#include "model/identifiers.h"

namespace burdockwheel::load {

struct LoadWatchSettings {
  model::FailureDomain failure_domain;
  model::Incarnation incarnation;
  // Between two measurements of a worker; zero: nothing is measured.
  std::chrono::milliseconds interval{0};
  // A host that starts measures nothing for so long: until it knows its peers
  // it would measure everything itself, over a new connection to each worker.
  // Its seeds have told it of them within the membership's second period. Once
  // a call has come, it measures a few workers of its own domain meanwhile.
  std::chrono::milliseconds join_time{700};
};

// A worker as the watch sees it.
struct WatchedWorker {
  model::WorkerId id;
  model::ServiceName service;
  model::FailureDomain failure_domain;
  // When its load was measured last, by whomever.
  std::optional<kernel::Instant> measured_at;
};

// Another host that is alive.
struct WatchingPeer {
  model::Incarnation incarnation;
  model::FailureDomain failure_domain;
};

// A probe that is to be sent.
struct WantedProbe {
  model::WorkerId worker;
  model::ServiceName service;
};

// What is to be told to peers.
struct LoadShare {
  LoadDigest digest;
  // For the hosts of other failure domains too, which need it less often.
  bool is_wide = false;
};

// The workers of a domain fall into groups by their names, and for each group
// the hosts of the domain are ranked by rendezvous hashing. The first measures
// the group and tells all others; each further one steps in once what it was
// told is older than its rank allows. So no agreement is needed, the loss of a
// measuring host costs a fraction of an interval, and no host measures more
// than a few groups however large the domain is. Pure.
class LoadWatch {
 public:
  // How much later than the host before it each host of the order steps in, as
  // a share of the interval.
  static constexpr double kStepIn = 0.7;
  // A group grows no larger, so that a small host can measure one: 240 probes
  // a second at an interval of 100 ms.
  static constexpr std::size_t kWorkersOfGroup = 24;
  // Workers of other domains are measured by hosts there; what was told of them
  // may be this many intervals old before this host asks itself.
  static constexpr double kForeignIntervals = 12;
  // What a host that does not know its peers yet measures of each service: few
  // connections, and most likely one worker that is idle and not slowed.
  static constexpr std::size_t kWorkersBeforeJoin = 8;
  // Every so many rounds what was measured goes to other domains too.
  static constexpr int kRoundsForWide = 4;
  // How long the answers of one round are collected.
  static constexpr std::chrono::milliseconds kCollectTime{15};
  // A worker whose probe got no answer or no report is left alone for this
  // long; doubles up to the longest.
  static constexpr std::chrono::milliseconds kShortestPause{250};
  static constexpr std::chrono::milliseconds kLongestPause{4000};

  explicit LoadWatch(const LoadWatchSettings& settings);

  void SetPeers(const std::vector<WatchingPeer>& peers);

  // Returns the workers to be probed now. `workers` are all that take calls.
  std::vector<WantedProbe> TakeProbes(
      kernel::Instant now, const std::vector<WatchedWorker>& workers);

  // A call has come, which must not be sent blindly though peers are not known
  // yet. Returns whether TakeProbes has something to do because of it.
  bool NoteCall(kernel::Instant now);

  // Takes the end of a probe; no report if it failed or told none.
  void NoteProbeEnded(kernel::Instant now, const model::WorkerId& worker,
                      const std::optional<model::WorkerReport>& report);

  // Returns what is due to be told to peers, or nothing.
  std::optional<LoadShare> TakeShare(kernel::Instant now);

  // Returns when TakeProbes or TakeShare may next have something to do, as of
  // the last TakeProbes; nothing if never.
  std::optional<kernel::Instant> NextWake() const;

  bool IsEnabled() const { return this->settings.interval.count() > 0; }

 private:
  struct Measured {
    model::WorkerId worker;
    model::WorkerReport report;
    kernel::Instant at;
  };

  struct Pause {
    std::chrono::milliseconds length{0};
    kernel::Instant until;
  };

  kernel::Instant DueAt(const WatchedWorker& worker) const;
  // Notes since when each worker is known.
  void NoteKnown(kernel::Instant now,
                 const std::vector<WatchedWorker>& workers);
  // The probes of a host that does not know its peers yet.
  std::vector<WantedProbe> TakeEarlyProbes(
      kernel::Instant now, const std::vector<WatchedWorker>& workers);
  // A few workers of each service, others at each host.
  std::vector<const WatchedWorker*> EarlyWorkers(
      const std::vector<WatchedWorker>& workers) const;
  std::vector<WantedProbe> Send(kernel::Instant now,
                                const std::vector<const WatchedWorker*>& due);
  // Returns until when a worker is left alone, or nothing.
  std::optional<kernel::Instant> BlockedUntil(
      const WatchedWorker& worker) const;
  // Makes as many groups as the workers of the own domain need.
  void SetGroups(const std::vector<WatchedWorker>& workers);
  void RankGroups();

  LoadWatchSettings settings;
  std::vector<model::Incarnation> neighbours;  // in the own domain
  std::vector<std::size_t> ranks = {0};        // of this host, by group
  std::unordered_map<model::FailureDomain, int> peers_by_domain;
  std::unordered_map<model::WorkerId, kernel::Instant> known_since;
  std::unordered_map<model::WorkerId, kernel::Instant> outstanding;
  std::unordered_map<model::WorkerId, Pause> pauses;
  std::vector<Measured> measured;            // since the last share
  std::optional<kernel::Instant> joined_at;  // when peers are known
  bool has_call = false;                     // since the start
  std::optional<kernel::Instant> share_at;
  std::optional<kernel::Instant> probe_at;
  int rounds = 0;
};

}  // namespace burdockwheel::load
