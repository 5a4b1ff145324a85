// The failures that the system reports to a caller itself.
#pragma once

#include <chrono>
#include <string_view>

#include "model/run_state.h"

namespace burdockwheel::model {

enum class RefusalReason {
  kMalformedRequest,
  kNoSuchRoute,
  kBodyTooLarge,
  kKeyRequired,      // a call that must not run twice came without a key
  kKeyUnrecognized,  // the key was not issued by this deployment
  kKeyExpired,
  kKeyMismatch,  // the key was used by another caller or with another body
  kKeyOwnerUnreachable,
  kKeyOwnerLost,
  kAnswerNotKept,  // the call has run; its answer is no longer held
  kKeysExhausted,  // the host can hold no further key at present
  kOverloaded,
  kNoWorker,
  kEvacuated,  // all workers stand in evacuated failure domains
  kWorkerFailed,
  kDeadlineExceeded,
  kSuspectedCrashingCall,
  kTooDeep,
  kHostStopping,
  kHostNotReady,  // the host does not know yet what is in force
};

// A problem document (RFC 9457) in typed form.
struct Refusal {
  RefusalReason reason = RefusalReason::kOverloaded;
  RunState run_state = RunState::kNotRun;
  std::chrono::milliseconds retry_after{0};  // zero if no time is advised
};

// Returns the last path segment of the problem's type URI, such as
// "key-required".
std::string_view RefusalReasonName(RefusalReason reason);

// Returns the HTTP status (RFC 9110) that the problem is sent with.
int RefusalStatus(RefusalReason reason);

}  // namespace burdockwheel::model
