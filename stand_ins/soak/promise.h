// What a soak holds the hosts to.
#pragma once

#include <string>
#include <string_view>

namespace burdockwheel::stand_ins {

enum class Promise {
  kRunsOnce,         // a call that is not idempotent
  kRefusalIsTrue,    // 408, 421, 429 and 503: not run, and never will be
  kOwnWholeAnswer,   // a success is the worker's whole answer to this request
  kNothingInvented,  // workers run what callers have sent, unchanged
  kRightService,     // no configuration ever sent it elsewhere
  kDrain,            // a leaving worker gets nothing new
  kInForce,          // an accepted configuration, within its bound
  kNeverBack,        // in one life of a host
  kStopCutsNothing,  // a planned stop
  kNoLostAnswers,    // beside disturbances
  kRetryBudget,      // over all hosts
  kAttempts,         // of one call, over all of its workers
  kTimePassedOn,     // workers are told no more time than is left
  kAnsweredInTime,   // a final answer at the route's time limit
  kCancelled,        // the work of callers that have left
  kCrashBound,       // a call that crashes workers
  kRecovers,         // after the last fault
  kStaysUp,          // no host ends by itself
};

std::string_view PromiseName(Promise promise);

struct Violation {
  Promise promise = Promise::kRunsOnce;
  std::string evidence;
};

}  // namespace burdockwheel::stand_ins
