// What the platform's list says of a worker.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>

#include "model/identifiers.h"

namespace burdockwheel::model {

enum class WorkerState { kLive, kLeaving };

// One worker of a service as the platform's list, which lags, shows it.
struct WorkerRecord {
  WorkerId id = {};
  // Rises with each start of a worker under the same name. Two records that
  // differ in it speak of two processes.
  std::uint64_t incarnation = 0;
  WorkerAddress address = {};
  ServiceName service = {};
  FailureDomain failure_domain = {};
  WorkerState state = WorkerState::kLive;
  // The record went while the platform was not sound and may come back. Such a
  // worker is only used where no other is.
  bool is_doubtful = false;
  // The operators want nothing sent to the worker's failure domain.
  bool is_evacuated = false;
  // Calls that the worker runs at the same time; zero if the list does not say.
  int slots = 0;
  // How much longer the worker stays slow after its start, if the list says.
  std::optional<std::chrono::milliseconds> warm_up = std::nullopt;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

}  // namespace burdockwheel::model
