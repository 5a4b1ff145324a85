// Limits the calls that a host has in flight to a busy service.
#pragma once

#include <chrono>

#include "kernel/instant.h"

namespace burdockwheel::routing {

// Calls at the workers of a service, running and waiting, as multiples of the
// workers' slots.
struct ServiceLoad {
  double mean = 0;
  double target = 1;
  // Calls wait so long beyond this load that many miss their objectives.
  double harmful = 1;
};

// Answers one load pattern: more calls arrive than the workers can run, at many
// hosts that all see the same reports of the workers' load, tenths of a second
// old. Until the next report each host takes the same workers for those with
// room, and together they fill the workers' queues, where calls become late,
// or are lost where a full worker stops answering.
//
// Once calls wait at the workers for too long, each host scales its own
// calls in flight by how far the workers' load lies above what they should, so
// that the hosts together come down to it, whatever share of the callers each
// has.
class InFlightLimit {
 public:
  // Returns whether one more call may be sent. `fair_share`: the slots of the
  // service, divided among the hosts.
  bool HasRoom(int own_in_flight, double fair_share) const;

  void Observe(kernel::Instant now, const ServiceLoad& load, int own_in_flight);

  bool IsLimiting() const { return this->is_limiting; }

 private:
  bool is_limiting = false;
  double limit = 0;        // while limiting
  double own_average = 0;  // calls in flight
  kernel::Instant observed_at;
  kernel::Instant adjusted_at;
};

}  // namespace burdockwheel::routing
