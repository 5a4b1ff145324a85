// The events that a host passes to the call engine.
#pragma once

#include <cstdint>
#include <memory>
#include <variant>
#include <vector>

#include "kernel/instant.h"
#include "load/load_watch.h"
#include "model/attempt_outcome.h"
#include "model/fleet_configuration.h"
#include "model/identifiers.h"
#include "model/known_host.h"
#include "model/worker_record.h"

namespace burdockwheel::engine {

// A complete call was received from a caller or from a peer that forwarded it.
struct CallArrived {
  model::CallId call;
  model::ServiceName service;
  std::size_t kind_index = 0;  // into the kinds of the service's definition
  kernel::Instant deadline;
  int depth = 0;                  // 0 for a call from outside the deployment
  std::uint64_t fingerprint = 0;  // equal for equivalent calls
};

// The caller has disconnected. For an idempotent call nothing more is relayed.
// A non-idempotent call that has been sent runs to its end and is relayed as
// usual, so that a call's key ledger can keep its answer; one that is still
// queued is refused as not run.
struct CallerGone {
  model::CallId call;
};

// An attempt that the engine started has ended.
struct AttemptEnded {
  model::CallId call;
  model::AttemptId attempt;
  model::AttemptOutcome outcome;
};

// A probe that the engine asked for was answered.
struct ProbeAnswered {
  model::WorkerId worker;
  model::ServiceName service;
  model::WorkerReport report;
  std::chrono::nanoseconds latency{0};
};

// A probe that the engine asked for got no answer that states a load.
struct ProbeFailed {
  model::WorkerId worker;
  model::ServiceName service;
};

// The answer to a probe asked something of this host. ProbeAnswered or
// ProbeFailed follows.
struct WorkerNoticed {
  model::WorkerId worker;
  model::ServiceName service;
  model::WorkerNotice notice;
};

// A peer sent its load measurements.
struct PeerLoadReceived {
  load::LoadDigest digest;
};

// The list of the other hosts that are alive was updated.
struct PeersListed {
  std::vector<load::WatchingPeer> peers;
  // All other hosts that this one knows of, gone ones included.
  std::vector<model::KnownHost> known_hosts = {};
};

// The time of the newest WakeAt has come.
struct TimerFired {};

// A configuration was accepted.
struct ConfigurationAccepted {
  std::shared_ptr<const model::FleetConfiguration> configuration;
};

// The platform's list of workers was read.
struct WorkersListed {
  std::vector<model::WorkerRecord> workers;
};

// A peer suspects that calls with this fingerprint crash workers. Carries the
// contents of its ShareCrashSuspicion. It may arrive late, twice, out of order,
// or never.
struct CrashSuspected {
  std::uint64_t fingerprint = 0;
  model::ServiceName service;
  model::WorkerId worker;
  int crashes = 0;  // the highest count for a worker applies
};

// The host begins its planned stop and accepts only calls whose deadlines are
// no later than its end.
struct StopBegun {
  kernel::Instant ends_at;  // calls in flight are aborted then
};

using Event = std::variant<CallArrived, CallerGone, AttemptEnded, ProbeAnswered,
                           ProbeFailed, WorkerNoticed, PeerLoadReceived,
                           PeersListed, TimerFired, ConfigurationAccepted,
                           WorkersListed, CrashSuspected, StopBegun>;

}  // namespace burdockwheel::engine
