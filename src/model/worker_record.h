// What the platform's list says of a worker.
#pragma once

#include "model/identifiers.h"

namespace burdockwheel::model {

enum class WorkerState { kLive, kLeaving };

// One worker of a service as the platform's list, which lags, shows it.
struct WorkerRecord {
  WorkerAddress address;
  ServiceName service;
  FailureDomain failure_domain;
  WorkerState state = WorkerState::kLive;

  friend bool operator==(const WorkerRecord&, const WorkerRecord&) = default;
};

}  // namespace burdockwheel::model
