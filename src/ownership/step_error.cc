#include "ownership/step_error.h"

namespace burdockwheel::ownership {

std::string_view StepErrorName(StepError error) {
  switch (error) {
    case StepError::kUnknownHost:
      return "unknown-host";
    case StepError::kUnknownKey:
      return "unknown-key";
    case StepError::kUnknownCall:
      return "unknown-call";
    case StepError::kNameTaken:
      return "name-taken";
    case StepError::kHostNotRunning:
      return "host-not-running";
    case StepError::kNothingToDo:
      return "nothing-to-do";
    case StepError::kNoKeyIssued:
      return "no-key-issued";
    case StepError::kOutcomeDiffers:
      return "outcome-differs";
  }
  return "unspecified";
}

}  // namespace burdockwheel::ownership
