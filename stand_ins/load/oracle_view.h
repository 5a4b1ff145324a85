// The reference policy's knowledge of workers, shared by all threads of a load
// generator that is their only source of calls.
#pragma once

#include <atomic>
#include <cstddef>
#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "stand_ins/load/load_plan.h"

namespace burdockwheel::stand_ins {

// What a worker tells of itself out of band.
struct OracleReading {
  double slowness = 1;  // the factor on its service times
  int slots = 6;
  bool is_usable = true;
};

class OracleView {
 public:
  explicit OracleView(const std::vector<LoadWorker>& workers);

  // Returns the worker of the service that would answer a new call soonest and
  // counts the call as in flight there. A worker without an equal is chosen
  // even if no worker of the service is usable.
  std::size_t Begin(std::string_view service);
  void End(std::size_t worker);

  void Update(std::size_t worker, const OracleReading& reading);

 private:
  struct WorkerState {
    std::string service;
    std::atomic<int> in_flight{0};
    std::atomic<double> slowness{1};
    std::atomic<int> slots{6};
    std::atomic<bool> is_usable{true};
  };

  // The expected time until a new call would end, in mean service times of a
  // worker at full speed.
  static double ExpectedTime(const WorkerState& state);

  std::deque<WorkerState> states;
};

}  // namespace burdockwheel::stand_ins
