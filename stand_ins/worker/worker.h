// The worker stand-in: runs calls on its slots and answers with bytes that
// follow from the caller's token.
#pragma once

#include <memory>
#include <string>

#include "kernel/result.h"
#include "stand_ins/common/http_server.h"
#include "stand_ins/worker/service_time_law.h"
#include "stand_ins/worker/worker_controls.h"
#include "stand_ins/worker/worker_speed.h"

namespace burdockwheel::stand_ins {

struct WorkerSettings {
  WorkerControls controls;
  ColdStart cold_start;
  ServiceTimeShape shape = ServiceTimeShape::kExponential;
  std::uint64_t seed = 1;
};

class Worker {
 public:
  Worker(boost::asio::io_context& context, const WorkerSettings& settings);
  Worker(const Worker&) = delete;
  Worker& operator=(const Worker&) = delete;
  ~Worker();

  // Returns the port.
  [[nodiscard]] kernel::Result<std::uint16_t, ListenFailure> TryListen(
      const std::string& address);

  // Refuses new calls, announces that it drains, and calls `on_drained` when no
  // call is left.
  void Drain(std::function<void()> on_drained);

 private:
  class State;
  std::unique_ptr<State> state;
};

}  // namespace burdockwheel::stand_ins
