// The settings of an entry host, from the file that `serve` is given.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "configuration/configuration_fault.h"
#include "kernel/result.h"
#include "model/identifiers.h"
#include "peer/envelope.h"
#include "settings/ip_endpoint.h"
#include "telemetry/log_level.h"

namespace burdockwheel::settings {

using telemetry::LogLevel;

// Where the platform publishes the configuration and the list of workers.
struct PlatformSettings {
  std::string kind = "store";  // a registered kind of platform
  IpEndpoint address;
  // How long the platform is asked to wait for a change.
  // Time-outs and a lost answer cost about a second more.
  std::chrono::milliseconds watch_wait{1800};
  // Whether one host of each failure domain reads for the others.
  bool is_shared = true;
};

// How a planned stop proceeds.
struct StopSettings {
  // From the moment when the host states that it is not ready until it takes
  // no further call.
  std::chrono::milliseconds announce{3000};
  // The longest wait for calls in flight after that.
  std::chrono::milliseconds most_wait{30'000};
};

// What bounds the further attempts of all hosts together.
struct FleetRetrySettings {
  double share = 0;  // of a service's calls
  double slack = 0;  // attempts beyond it, however few the calls are
  int levels = 6;    // of calls that one call from outside leads through
};

// What bounds the hedges of all hosts together, as shares of a service's calls
// and of the time that these take at the workers.
struct HedgeSettings {
  double call_share = 0;
  double time_share = 0;
};

// What bounds the calls of all hosts together to a worker that is cold: a
// multiple of what its service says that it bears, and calls beyond that.
struct WarmUpLimitSettings {
  double excess = 0;
  double slack = 0;
};

// What tests may ask of a host; refused unless "test_hooks" is true.
struct TestSettings {
  std::optional<std::uint64_t> random_seed;
  // Peers to which nothing is sent and from which nothing is taken.
  std::vector<std::string> cut_peers;
  // Protections that the host goes without, such as "no-takeover".
  std::vector<std::string> switched_off;
};

struct HostSettings {
  model::HostId host;
  model::FailureDomain failure_domain;
  IpEndpoint caller_listen;  // port 0 takes a free one, in all three
  IpEndpoint admin_listen;
  IpEndpoint peer_listen;
  // The address that peers send to; nothing: the one that is listened on.
  std::optional<IpEndpoint> peer_advertise;
  PlatformSettings platform;
  // Where metrics are served besides admin_listen.
  std::optional<IpEndpoint> metrics_listen;
  // Without keys hosts tell one another nothing that callers' keys need, so
  // that keyed calls are not taken.
  std::optional<peer::EnvelopeKeys> peer_keys;
  // The registered conventions of callers and workers; empty: the default.
  std::string message_conventions;
  std::vector<std::string> seed_peers;  // IP numbers with ports
  // The share of heartbeats that cross to other failure domains; without it as
  // many as chance brings, and beacons go to all hosts of other domains.
  std::optional<double> cross_domain_share;
  // The header that tells callers apart for the keys of their calls.
  std::string caller_header = "Authorization";

  // How long a key of a call that must not run twice is remembered.
  std::chrono::milliseconds key_lifetime{600'000};
  int most_keys = 100'000;
  // All stored answers together.
  std::int64_t most_answer_bytes = std::int64_t{16} << 20U;
  // What the process may take in all; callers' bodies that are held at the same
  // time, workers' unfinished answers and answers that callers have not read
  // get a share of it each.
  std::int64_t memory_mb = 256;
  std::int64_t HeldBodyBytes() const { return (this->memory_mb << 20U) / 8; }
  // An answer without a stated length may take twice what has arrived of it.
  std::int64_t UnfinishedAnswerBytes() const {
    return (this->memory_mb << 20U) / 4;
  }
  std::int64_t UnreadAnswerBytes() const {
    return (this->memory_mb << 20U) / 4;
  }
  // One request or answer body.
  std::int64_t most_body_bytes = std::int64_t{1} << 20U;
  // The most of one request body that this host takes.
  std::int64_t MostHeldBodyBytes() const {
    return std::min(this->most_body_bytes, this->HeldBodyBytes());
  }

  // How often the load of each worker is measured; zero: only as the routing
  // policies ask.
  std::chrono::milliseconds load_interval{0};
  std::chrono::milliseconds worker_connect_timeout{250};
  // Without it each host keeps to the retry share of the service.
  std::optional<FleetRetrySettings> fleet_retry;
  // Whether callers are told to return at once if workers refused their call
  // although the service has room.
  bool is_return_prompt = false;
  // Without it hedges are limited as other further attempts are.
  std::optional<HedgeSettings> hedging;
  // Without it nothing bounds the calls to a cold worker.
  std::optional<WarmUpLimitSettings> warm_up_limit;
  StopSettings stop;
  int audit_entries = 4096;
  LogLevel log_level = LogLevel::kInfo;
  // Lines on calls; beyond it only what needs an explanation is told.
  int log_call_lines_per_second = 400;
  bool has_test_hooks = false;
  TestSettings test;
};

// Reads the settings and collects every fault. Opens nothing.
kernel::Result<HostSettings, configuration::ConfigurationFaults>
ParseHostSettings(std::string_view text, std::string_view file = {});

}  // namespace burdockwheel::settings
