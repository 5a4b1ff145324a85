#include "model/refusal.h"

namespace burdockwheel::model {

std::string_view RefusalReasonName(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMalformedRequest:
      return "malformed-request";
    case RefusalReason::kNoSuchRoute:
      return "no-such-route";
    case RefusalReason::kBodyTooLarge:
      return "body-too-large";
    case RefusalReason::kKeyRequired:
      return "key-required";
    case RefusalReason::kKeyUnrecognized:
      return "key-unrecognized";
    case RefusalReason::kKeyExpired:
      return "key-expired";
    case RefusalReason::kKeyMismatch:
      return "key-mismatch";
    case RefusalReason::kKeyOwnerUnreachable:
      return "key-owner-unreachable";
    case RefusalReason::kKeyOwnerLost:
      return "key-owner-lost";
    case RefusalReason::kAnswerNotKept:
      return "answer-not-kept";
    case RefusalReason::kKeysExhausted:
      return "keys-exhausted";
    case RefusalReason::kOverloaded:
      return "overloaded";
    case RefusalReason::kNoWorker:
      return "no-worker";
    case RefusalReason::kEvacuated:
      return "evacuated";
    case RefusalReason::kWorkerFailed:
      return "worker-failed";
    case RefusalReason::kDeadlineExceeded:
      return "deadline-exceeded";
    case RefusalReason::kSuspectedCrashingCall:
      return "suspected-crashing-call";
    case RefusalReason::kTooDeep:
      return "too-deep";
    case RefusalReason::kHostStopping:
      return "host-stopping";
    case RefusalReason::kHostNotReady:
      return "host-not-ready";
  }
  return "unspecified";
}

int RefusalStatus(RefusalReason reason) {
  switch (reason) {
    case RefusalReason::kMalformedRequest:
    case RefusalReason::kKeyRequired:
    case RefusalReason::kKeyUnrecognized:
      return 400;
    case RefusalReason::kNoSuchRoute:
      return 404;
    case RefusalReason::kKeyExpired:
    case RefusalReason::kAnswerNotKept:
      return 410;
    case RefusalReason::kBodyTooLarge:
      return 413;
    case RefusalReason::kKeyMismatch:
    case RefusalReason::kSuspectedCrashingCall:
      return 422;
    case RefusalReason::kTooDeep:
      return 508;
    case RefusalReason::kWorkerFailed:
      return 502;
    case RefusalReason::kDeadlineExceeded:
    case RefusalReason::kKeyOwnerUnreachable:
    case RefusalReason::kKeyOwnerLost:
      return 504;
    case RefusalReason::kKeysExhausted:
    case RefusalReason::kOverloaded:
    case RefusalReason::kNoWorker:
    case RefusalReason::kEvacuated:
    case RefusalReason::kHostStopping:
    case RefusalReason::kHostNotReady:
      return 503;
  }
  return 500;
}

}  // namespace burdockwheel::model
