// Asks workers for their true state, out of band.
#pragma once

#include <atomic>
#include <chrono>
#include <thread>
#include <vector>

#include "stand_ins/load/load_plan.h"

namespace burdockwheel::stand_ins {

class OracleView;

// Updates a view from the workers' GET /oracle on a thread of its own while it
// lives.
class OraclePoller {
 public:
  // Both references must outlive the poller.
  OraclePoller(const std::vector<LoadWorker>& workers, OracleView& view);
  OraclePoller(const OraclePoller&) = delete;
  OraclePoller& operator=(const OraclePoller&) = delete;
  ~OraclePoller();

 private:
  void PollAll();

  const std::vector<LoadWorker>& workers;
  OracleView& view;
  std::atomic<bool> is_stopping{false};
  std::thread thread;
};

}  // namespace burdockwheel::stand_ins
