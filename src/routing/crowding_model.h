// Learns whether workers slow down when they are nearly full.
#pragma once

#include <chrono>

#include "model/attempt_outcome.h"

namespace burdockwheel::routing {

// Compares the times of answers by how many of the worker's slots were taken
// then. Workers that share a processor among their slots finish fewer calls
// with all slots taken than with most, so that a service whose workers do is
// best kept below that.
class CrowdingModel {
 public:
  // Takes the time of an answer that neighbours did not prolong, and what the
  // worker reported with it.
  void Observe(std::chrono::nanoseconds time, const model::WorkerReport& report,
               int slots);

  // Returns by how much longer work takes on a nearly full worker; 1 until
  // enough is known.
  double Slowdown() const;

  // Returns how many calls a worker should hold, as a multiple of its slots.
  double TargetLoad() const;

 private:
  struct Mean {
    double seconds = 0;
    int samples = 0;

    void Add(double value);
  };

  Mean roomy;
  Mean crowded;
};

}  // namespace burdockwheel::routing
