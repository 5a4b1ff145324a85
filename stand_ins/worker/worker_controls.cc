#include "stand_ins/worker/worker_controls.h"

#include <functional>
#include <nlohmann/json.hpp>

namespace burdockwheel::stand_ins {
namespace {

using Json = nlohmann::json;
using std::chrono::duration_cast;
using Milliseconds = std::chrono::duration<double, std::milli>;

template <typename Duration>
Duration DurationOf(const Json& milliseconds) {
  return duration_cast<Duration>(Milliseconds(milliseconds.get<double>()));
}

using std::chrono::microseconds;
using std::chrono::milliseconds;

using Setter = std::function<void(const Json&, WorkerControls*)>;

void SetMeanByPath(const Json& value, WorkerControls* controls) {
  controls->mean_by_path.clear();
  for (const auto& [path, mean] : value.items())
    controls->mean_by_path[path] = DurationOf<microseconds>(mean);
}

void SetNoise(const Json& value, WorkerControls* controls) {
  controls->noise.mean_gap = DurationOf<milliseconds>(value.at("gap_ms"));
  controls->noise.mean_length = DurationOf<milliseconds>(value.at("length_ms"));
  controls->noise.factor = value.at("factor").get<double>();
}

void SetFaults(const Json& value, WorkerControls* controls) {
  FaultShares faults;
  faults.late = value.value("late", 0.0);
  faults.truncated = value.value("truncated", 0.0);
  faults.wrong_framing = value.value("wrong_framing", 0.0);
  faults.close_after_write = value.value("close_after_write", 0.0);
  faults.endless = value.value("endless", 0.0);
  faults.repeated_refusal = value.value("repeated_refusal", 0.0);
  controls->faults = faults;
}

void SetClaimedLoad(const Json& value, WorkerControls* controls) {
  if (value.is_null()) {
    controls->claimed_load.reset();
    return;
  }
  controls->claimed_load = ClaimedLoad{value.at("in_flight").get<int>(),
                                       value.at("queued").get<int>()};
}

const std::map<std::string, Setter, std::less<>>& Setters() {
  static const std::map<std::string, Setter, std::less<>> kSetters = {
      {"slots",
       [](const Json& value, WorkerControls* controls) {
         controls->slots = value.get<int>();
       }},
      {"most_queued",
       [](const Json& value, WorkerControls* controls) {
         controls->most_queued = value.get<int>();
       }},
      {"mean_ms",
       [](const Json& value, WorkerControls* controls) {
         controls->mean_service_time = DurationOf<microseconds>(value);
       }},
      {"mean_ms_by_path", SetMeanByPath},
      {"slow_factor",
       [](const Json& value, WorkerControls* controls) {
         controls->slow_factor = value.get<double>();
       }},
      {"noise", SetNoise},
      {"draining",
       [](const Json& value, WorkerControls* controls) {
         controls->is_draining = value.get<bool>();
       }},
      {"reject_all",
       [](const Json& value, WorkerControls* controls) {
         controls->is_rejecting_all = value.get<bool>();
       }},
      {"silent_when_full",
       [](const Json& value, WorkerControls* controls) {
         controls->is_silent_when_full = value.get<bool>();
       }},
      {"pause_ms",
       [](const Json& value, WorkerControls* controls) {
         controls->pause = DurationOf<milliseconds>(value);
       }},
      {"reject_status",
       [](const Json& value, WorkerControls* controls) {
         controls->reject_status = value.get<int>();
       }},
      {"late_ms",
       [](const Json& value, WorkerControls* controls) {
         controls->late_by = DurationOf<milliseconds>(value);
       }},
      {"faults", SetFaults},
      {"load_lag_ms",
       [](const Json& value, WorkerControls* controls) {
         controls->load_report_lag = DurationOf<milliseconds>(value);
       }},
      {"claimed_load", SetClaimedLoad},
  };
  return kSetters;
}

}  // namespace

microseconds WorkerControls::MeanOf(std::string_view path) const {
  for (const auto& [prefix, mean] : this->mean_by_path) {
    if (path.starts_with(prefix)) return mean;
  }
  return this->mean_service_time;
}

kernel::Result<WorkerControls, ControlFailure> TryApplyControls(
    WorkerControls controls, std::string_view json) {
  const Json document = Json::parse(json, nullptr, false);
  if (!document.is_object()) return ControlFailure::kNotJson;
  try {
    for (const auto& [name, value] : document.items()) {
      const auto setter = Setters().find(name);
      if (setter == Setters().end()) return ControlFailure::kUnknownMember;
      setter->second(value, &controls);
    }
  } catch (const Json::exception&) {
    return ControlFailure::kWrongType;
  }
  return controls;
}

}  // namespace burdockwheel::stand_ins
