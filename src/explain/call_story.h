// What the logs of the hosts tell about one call.
#pragma once

#include <string>
#include <string_view>
#include <vector>

#include "explain/log_line.h"

namespace burdockwheel::explain {

// Why a call ended as it did, as far as the logs tell.
enum class Cause {
  kUnknownCall,     // no line of any host names it
  kAnsweredInTime,  // nothing went wrong at the hosts
  kHostNotReady,    // the host did not know what is in force
  kNoRoute,         // no configuration in force there has the route
  kMalformed,       // the request was not one that is taken
  kHostStopping,    // a planned stop
  kNoWorker,        // no worker of the service was listed
  kEvacuated,       // its workers' failure domains were evacuated
  kOverloaded,      // the workers had no room
  kTooLate,         // the deadline left no time
  kCrashSuspected,  // calls like it had crashed workers
  kQueuedLong,      // late: it waited for a worker
  kSlowWorker,      // late: the worker or its machine was slow
  kFailedFirst,     // late: an attempt failed before the one that was answered
  kAnswerLost,      // a worker had it, and no whole answer came back
  kWorkerTimeout,   // a worker had it until the deadline
  kWorkerError,     // the worker answered with an error
  kCallerGone,      // the caller left first
  kNotDelivered,    // the caller left while its answer was written
  kWorkerUnreachable,  // no attempt reached a worker
  kRefused,            // for another reason, which the explanation names
  kHostGone,           // the host's log ends while the call is there
};

// Returns a short fixed name, such as "answer-lost".
std::string_view CauseName(Cause cause);

struct CallStory {
  Cause cause = Cause::kUnknownCall;
  std::string explanation;      // a sentence or two
  std::vector<LogLine> lines;   // of the call itself, in order of time
  std::vector<LogLine> around;  // what the host believed and learnt meanwhile
};

// Takes the lines of any number of hosts; those of one host in the order in
// which it wrote them. Pure.
CallStory ExplainCall(std::vector<LogLine> log, std::string_view call);

}  // namespace burdockwheel::explain
