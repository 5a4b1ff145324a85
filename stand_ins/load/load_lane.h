// One thread's share of a load generator.
#pragma once

#include <memory>

#include "kernel/instant.h"
#include "stand_ins/load/load_plan.h"
#include "stand_ins/load/load_report.h"

namespace burdockwheel::stand_ins {

class OracleView;

// Sends an equal share of the plan's calls in an open loop and follows each to
// its end.
class LoadLane {
 public:
  // `lane` distinguishes the seeds; `oracle` is null but in the direct-oracle
  // mode. Both references must outlive the lane.
  LoadLane(const LoadPlan& plan, int lane, OracleView* oracle);
  LoadLane(const LoadLane&) = delete;
  LoadLane& operator=(const LoadLane&) = delete;
  ~LoadLane();

  // Returns when every call has ended.
  void Run(kernel::Instant start);

  const LoadReport& Report() const;

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace burdockwheel::stand_ins
