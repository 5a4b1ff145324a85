#include "model/attempt_outcome.h"

namespace burdockwheel::model {

std::string_view BreakCauseName(BreakCause cause) {
  switch (cause) {
    case BreakCause::kNone:
      return "none";
    case BreakCause::kUnknownWorker:
      return "unknown-worker";
    case BreakCause::kNoConnection:
      return "no-connection";
    case BreakCause::kConnectRefused:
      return "connect-refused";
    case BreakCause::kConnectTimeout:
      return "connect-timeout";
    case BreakCause::kReset:
      return "reset";
    case BreakCause::kClosed:
      return "closed";
    case BreakCause::kSurplus:
      return "surplus";
    case BreakCause::kMalformed:
      return "malformed";
    case BreakCause::kTooLarge:
      return "too-large";
    case BreakCause::kNoMemory:
      return "no-memory";
    case BreakCause::kCorrupt:
      return "corrupt";
    case BreakCause::kDeadline:
      return "deadline";
    case BreakCause::kCancelled:
      return "cancelled";
  }
  return "unspecified";
}

std::string_view AttemptResultName(AttemptResult result) {
  switch (result) {
    case AttemptResult::kAnswered:
      return "answered";
    case AttemptResult::kRefused:
      return "refused";
    case AttemptResult::kMisdirected:
      return "misdirected";
    case AttemptResult::kNotSent:
      return "not-sent";
    case AttemptResult::kBroken:
      return "broken";
    case AttemptResult::kTimedOut:
      return "timed-out";
    case AttemptResult::kCancelled:
      return "cancelled";
  }
  return "unspecified";
}

}  // namespace burdockwheel::model
