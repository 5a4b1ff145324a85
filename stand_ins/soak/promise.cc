#include "stand_ins/soak/promise.h"

namespace burdockwheel::stand_ins {

std::string_view PromiseName(Promise promise) {
  switch (promise) {
    case Promise::kRunsOnce:
      return "runs-once";
    case Promise::kRefusalIsTrue:
      return "refusal-is-true";
    case Promise::kOwnWholeAnswer:
      return "own-whole-answer";
    case Promise::kNothingInvented:
      return "nothing-invented";
    case Promise::kRightService:
      return "right-service";
    case Promise::kDrain:
      return "drain";
    case Promise::kInForce:
      return "in-force";
    case Promise::kNeverBack:
      return "never-back";
    case Promise::kStopCutsNothing:
      return "stop-cuts-nothing";
    case Promise::kNoLostAnswers:
      return "no-lost-answers";
    case Promise::kRetryBudget:
      return "retry-budget";
    case Promise::kAttempts:
      return "attempts";
    case Promise::kTimePassedOn:
      return "time-passed-on";
    case Promise::kAnsweredInTime:
      return "answered-in-time";
    case Promise::kCancelled:
      return "cancelled";
    case Promise::kCrashBound:
      return "crash-bound";
    case Promise::kRecovers:
      return "recovers";
    case Promise::kStaysUp:
      return "stays-up";
  }
  return "unspecified";
}

}  // namespace burdockwheel::stand_ins
