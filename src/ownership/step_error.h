// Why a step of a trace failed.
#pragma once

#include <string_view>

namespace burdockwheel::ownership {

// Why a step could not be played, or did not end as the trace states.
enum class StepError {
  kUnknownHost,
  kUnknownKey,
  kUnknownCall,
  kNameTaken,  // an earlier step used the key's or call's name
  kHostNotRunning,
  kNothingToDo,     // no such message, run or hand-over
  kNoKeyIssued,     // the host refused to issue a key
  kOutcomeDiffers,  // of kExpect or kExpectRuns
};

std::string_view StepErrorName(StepError error);

}  // namespace burdockwheel::ownership
