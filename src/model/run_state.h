// What a caller is told about the running of a call that the system answers
// itself.
#pragma once

#include <string_view>

namespace burdockwheel::model {

enum class RunState {
  kNotRun,   // no worker has run the call, and none will
  kUnknown,  // a worker may have run the call
};

constexpr std::string_view RunStateName(RunState state) {
  return state == RunState::kNotRun ? "not-run" : "unknown";
}

}  // namespace burdockwheel::model
