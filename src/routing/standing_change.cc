#include "routing/standing_change.h"

namespace burdockwheel::routing {

std::string_view StandingName(Standing standing) {
  switch (standing) {
    case Standing::kStarting:
      return "starting";
    case Standing::kActive:
      return "active";
    case Standing::kDraining:
      return "draining";
    case Standing::kSlow:
      return "slow";
    case Standing::kEjected:
      return "ejected";
    case Standing::kPaused:
      return "paused";
    case Standing::kOnTrial:
      return "on-trial";
  }
  return "unspecified";
}

std::string_view StandingCauseName(StandingCause cause) {
  switch (cause) {
    case StandingCause::kListed:
      return "listed";
    case StandingCause::kRampFinished:
      return "ramp-finished";
    case StandingCause::kDrainAnnounced:
      return "drain-announced";
    case StandingCause::kLeavingListed:
      return "leaving-listed";
    case StandingCause::kRemovedFromList:
      return "removed-from-list";
    case StandingCause::kDrainWithdrawn:
      return "drain-withdrawn";
    case StandingCause::kFastFailures:
      return "fast-failures";
    case StandingCause::kBackOffPassed:
      return "back-off-passed";
    case StandingCause::kTrialSucceeded:
      return "trial-succeeded";
    case StandingCause::kTrialFailed:
      return "trial-failed";
    case StandingCause::kSlowAnswers:
      return "slow-answers";
    case StandingCause::kSpeedRecovered:
      return "speed-recovered";
    case StandingCause::kPauseAsked:
      return "pause-asked";
    case StandingCause::kPauseOver:
      return "pause-over";
    case StandingCause::kEjectionFloor:
      return "ejection-floor";
  }
  return "unspecified";
}

}  // namespace burdockwheel::routing
