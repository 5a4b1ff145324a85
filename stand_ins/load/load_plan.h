// What a load generator sends: the contents of its plan file.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "kernel/result.h"

namespace burdockwheel::stand_ins {

// One kind of call in the mix.
struct LoadKind {
  std::string name;
  double share = 1;  // of all calls, relative to the other kinds
  std::string method = "GET";
  std::string path = "/";
  std::string service;  // for the direct modes
  std::size_t request_bytes = 0;
  std::size_t answer_bytes = 100;
  bool is_chunked = false;  // the answer
  bool is_keyed = false;
  bool is_resent = true;  // after a loss, a time-out or "unknown"
  int most_sends = 3;
  std::chrono::milliseconds timeout{2000};  // of each send
  std::map<std::string, std::string> fields;
};

// A worker that the direct modes send to.
struct LoadWorker {
  std::string address;
  std::string service;
};

enum class LoadMode {
  kEntryHosts,    // through entry hosts, drawn evenly
  kDirect,        // straight to workers, drawn evenly
  kDirectOracle,  // straight to the worker that would answer soonest
};

struct LoadPlan {
  LoadMode mode = LoadMode::kEntryHosts;
  std::uint64_t seed = 1;
  double rate = 100;  // calls a second
  std::chrono::milliseconds length{10000};
  std::chrono::milliseconds warm_up{0};  // sent before, and not recorded
  int threads = 1;
  int connections_per_target = 256;  // of each thread
  int callers = 8;
  std::vector<std::string> entry_hosts;
  std::vector<LoadWorker> workers;
  std::vector<LoadKind> kinds;
};

enum class LoadPlanFailure { kNotJson, kMissingMember, kNoTarget, kBadMode };

kernel::Result<LoadPlan, LoadPlanFailure> TryParseLoadPlan(
    std::string_view json);

}  // namespace burdockwheel::stand_ins
