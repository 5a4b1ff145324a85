// Bounds how fast calls move between failure domains.
#pragma once

#include <chrono>

#include "kernel/instant.h"
#include "routing/router_settings.h"

namespace burdockwheel::routing {

// Tracks the share of calls that want to cross into another failure domain and
// lets the share that does cross follow it at a bounded rate, so that hosts
// which lose or regain their local workers at the same time do not all move at
// once. While some calls cross, a smaller advantage is enough to go on.
class CrossingGovernor {
 public:
  explicit CrossingGovernor(const CrossingSettings& settings);

  // Decides one call that would gain `advantage` by crossing, as a share of
  // the cost of crossing beyond that cost. `has_local` tells whether a worker
  // of the own domain could take it. A call that may not cross may ask again.
  bool MayCross(kernel::Instant now, double advantage, bool has_local);

  // Notes a call that found no reason to cross.
  void NoteLocal(kernel::Instant now);

  // Notes that a call starts on either side.
  void NoteStarted(kernel::Instant now);

  // Returns the share of calls that may cross at present.
  double MostShare() const { return this->most_share; }

 private:
  void Update(kernel::Instant now, bool wants_crossing, bool has_local);
  void GrantCrossings(std::chrono::nanoseconds elapsed);

  const CrossingSettings& settings;
  double wanted_share = 0;
  double most_share = 1;
  bool is_crossing = false;
  bool has_started = false;
  kernel::Instant updated_at;
  double calls_per_second = 0;  // smoothed
  kernel::Instant started_at;   // the newest call
  double crossings_left = 0;    // that may start now
};

}  // namespace burdockwheel::routing
