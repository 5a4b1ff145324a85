// What a test can change in a running worker stand-in.
#pragma once

#include <chrono>
#include <map>
#include <nlohmann/json_fwd.hpp>
#include <optional>
#include <string>
#include <string_view>

#include "kernel/result.h"

namespace burdockwheel::stand_ins {

// Shares, from 0 to 1, of the answers that are spoiled in each way.
struct FaultShares {
  double late = 0;
  double truncated = 0;
  double wrong_framing = 0;
  double close_after_write = 0;
  double endless = 0;
  double repeated_refusal = 0;  // of the refusals; follows on the connection
};

// Random short slow-downs, as a neighbour on the same machine causes them.
struct NoiseControl {
  std::chrono::milliseconds mean_gap{0};  // zero: no noise
  std::chrono::milliseconds mean_length{0};
  double factor = 1;
};

// A load that the worker claims in place of its true one.
struct ClaimedLoad {
  int in_flight = 0;
  int queued = 0;
};

struct WorkerControls {
  int slots = 6;
  int most_queued = 64;
  std::chrono::microseconds mean_service_time{10000};
  // Means of other paths, by the prefix of the path.
  std::map<std::string, std::chrono::microseconds, std::less<>> mean_by_path;
  double slow_factor = 1;
  NoiseControl noise;
  bool is_draining = false;
  bool is_rejecting_all = false;
  // Calls without a place get no answer, nor does their connection any more.
  bool is_silent_when_full = false;
  // For how long refusals ask not to be called; zero: they do not.
  std::chrono::milliseconds pause{0};
  int reject_status = 500;
  std::chrono::milliseconds late_by{0};
  FaultShares faults;
  std::chrono::milliseconds load_report_lag{0};
  std::optional<ClaimedLoad> claimed_load;

  // The mean service time of calls to this path.
  std::chrono::microseconds MeanOf(std::string_view path) const;
};

enum class ControlFailure { kNotJson, kUnknownMember, kWrongType };

// Returns the controls with the members of a JSON object, such as
// {"slow_factor": 10}, applied; the object's keys are listed in
// docs/experiments.md.
kernel::Result<WorkerControls, ControlFailure> TryApplyControls(
    WorkerControls controls, std::string_view json);

}  // namespace burdockwheel::stand_ins
