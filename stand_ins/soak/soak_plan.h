// What a soak does, drawn from its seed.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace burdockwheel::stand_ins {

// A fault or a planned change, injected from outside of the hosts.
enum class SoakFault {
  kHostKilled,         // SIGKILL, started again
  kHostsKilled,        // all of them at once
  kHostPaused,         // SIGSTOP, SIGCONT
  kHostStopped,        // SIGTERM, started again once it has ended
  kHostReloaded,       // SIGHUP
  kCallersReset,       // all connections to one host
  kCallersDelayed,     // the link to one host
  kPeersDeaf,          // one host hears none of its peers
  kPeersDelayed,       // one host hears its peers late
  kStoreCutFromHost,   // nothing passes between one host and the store
  kStoreDeafToHost,    // the store hears one host and its answers are lost
  kStoreDown,          // 503
  kStoreSilent,        // no answers
  kStoreSlow,          // late answers
  kStoreLapse,         // down, and entries are gone until it is back
  kStoreForgets,       // its history is dropped
  kWorkerCrashed,      // and started again
  kWorkerSlow,         // works slower
  kWorkerFailing,      // answers some calls with an error of its own
  kWorkerSpoiling,     // breaks off or doubles some answers
  kWorkerLosing,       // runs some calls and closes without an answer
  kWorkerLinkReset,    // all connections to one worker
  kWorkerLinkSilent,   // connections stay open and nothing passes
  kWorkerLinkOneWay,   // answers do not pass
  kWorkerChannelDead,  // what is open stays silent for good, new ones work
  kWorkerLeaves,       // drains, ends, and its address is used again
  kWorkerRemoved,      // the same without saying that it drains
  kRouteMoved,         // a configuration sends a route to another service
  kPoisonedCall,       // a call crashes each worker that runs it, and is resent
};

inline constexpr int kSoakFaults =
    static_cast<int>(SoakFault::kPoisonedCall) + 1;

std::string_view SoakFaultName(SoakFault fault);

struct SoakStep {
  std::chrono::milliseconds at{0};  // from the start of traffic
  SoakFault fault = SoakFault::kHostKilled;
  std::chrono::milliseconds length{0};
  std::uint64_t target = 0;  // which part, counted round
};

struct SoakSettings {
  std::uint64_t seed = 1;
  std::chrono::milliseconds length{20000};
  int hosts = 0;  // 0: drawn
};

struct SoakPlan {
  int failure_domains = 1;
  int hosts = 3;
  int services = 3;
  int workers_per_service = 3;
  double calls_per_second = 0;
  std::vector<SoakStep> steps;  // by time
};

// Faults come alone, in series of one kind, and over one another; the last
// seconds are calm, so that the recovery can be judged.
SoakPlan DrawSoakPlan(const SoakSettings& settings);

}  // namespace burdockwheel::stand_ins
