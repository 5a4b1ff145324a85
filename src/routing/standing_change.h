// The states that a host holds a worker to be in, and the changes between them.
#pragma once

#include <string>
#include <string_view>

#include "model/identifiers.h"

namespace burdockwheel::routing {

enum class Standing {
  kStarting,  // newly listed; its weight rises with time
  kActive,    // takes its full share
  kDraining,  // finishes what it has and takes nothing new
  kSlow,      // answers several times more slowly than its peers
  kEjected,   // suspected; takes nothing until its back-off has passed
  kPaused,    // has asked to be left alone for a time
  kOnTrial,   // the back-off has passed; takes single calls
};

// Why a standing changed.
enum class StandingCause {
  kListed,
  kRampFinished,
  kDrainAnnounced,   // by an answer or a probe of the worker itself
  kLeavingListed,    // by the platform's list
  kRemovedFromList,  // by the platform's list
  kDrainWithdrawn,   // fresher evidence ended the drain
  kFastFailures,     // refusals and failures without an answer
  kBackOffPassed,    // an ejection has run its time
  kTrialSucceeded,   // a single call on trial was answered
  kTrialFailed,      // a single call on trial failed
  kSlowAnswers,
  kSpeedRecovered,
  kPauseAsked,  // a refusal of the worker said for how long
  kPauseOver,
  kEjectionFloor,  // too few workers were left
};

// One change, for the audit trail.
struct StandingChange {
  model::WorkerId worker;
  Standing from = Standing::kActive;
  Standing to = Standing::kActive;
  StandingCause cause = StandingCause::kListed;
  std::string evidence;  // key=value pairs of the figures that led to it
};

// Returns a short fixed name, such as "on-trial".
std::string_view StandingName(Standing standing);

// Returns a short fixed name, such as "fast-failures".
std::string_view StandingCauseName(StandingCause cause);

}  // namespace burdockwheel::routing
