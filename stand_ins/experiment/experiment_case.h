// The cases that an experiment can run: a load and what happens during it.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::stand_ins {

class Cluster;

// Something that happens once during a run.
struct CaseEvent {
  double at = 0;  // as a share of the run's length
  std::function<void(Cluster&)> act;
};

struct ExperimentCase {
  std::string name;
  double load = 0.7;  // as a share of the workers' capacity
  // Calls a second that crash the worker that runs them.
  double crashing_rate = 0;
  std::vector<CaseEvent> events;
};

// Returns the case with this name, or the pair of two, such as
// "slow-worker+host-pause": the events of both at the lower of their loads.
std::optional<ExperimentCase> ExperimentCaseOrNull(std::string_view name);

// The names of the single cases.
std::vector<std::string> ExperimentCaseNames();

// Undoes what the events of a case have left.
void RestoreCluster(Cluster& cluster);

}  // namespace burdockwheel::stand_ins
