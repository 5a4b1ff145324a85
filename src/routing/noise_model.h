// How long neighbours on the workers' machines slow them down.
#pragma once

#include <chrono>

#include "kernel/instant.h"

namespace burdockwheel::routing {

// A machine is either at its usual speed or slowed by its neighbours. Learns
// how fast machines go from one state to the other, from pairs of reports of
// one worker: the changes that were seen, divided by the time that was watched
// (the maximum-likelihood estimate of a two-state Markov process). Old pairs
// fade, so that the model follows the deployment.
class NoiseModel {
 public:
  // Work that takes longer than this multiple of the usual time is slowed.
  static constexpr double kSlowedFrom = 1.5;
  // Reports further apart than this may hide changes and teach nothing.
  static constexpr std::chrono::milliseconds kLongestGap{300};

  // Takes two reports in a row of one worker.
  void Observe(double slowdown_before, double slowdown_after,
               std::chrono::nanoseconds gap);

  // Changes for each second in the state.
  double SlowingRate() const;
  double RecoveryRate() const;

  // Takes note that the service's workers tell their slowdown.
  void NoteReport() { this->is_reported = true; }

  // The chance that a machine is slowed of which there is no report; 0 while no
  // worker has told its slowdown, since the service may not tell it at all.
  double SlowedChanceWithoutReport() const;

  // The chance that a machine is slowed `age` after a report of `slowdown`.
  double SlowedChance(double slowdown, std::chrono::nanoseconds age) const;

  // The usual slowdown of a slowed machine.
  double TypicalSlowdown() const { return this->typical_slowdown; }

  static bool IsSlowed(double slowdown) { return slowdown >= kSlowedFrom; }

 private:
  // The share of its time that a machine is slowed.
  double SlowedShare() const;

  struct State {
    double seconds = 0;
    double changes = 0;
  };

  // What stands in for observations until there are some: slowed for a third of
  // a second every two seconds.
  State usual{2.0, 1.0};
  State slowed{1.0, 3.0};
  double typical_slowdown = 4.0;
  bool is_reported = false;
};

}  // namespace burdockwheel::routing
