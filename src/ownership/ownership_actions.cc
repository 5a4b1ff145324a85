#include "ownership/ownership_actions.h"

#include <utility>

namespace burdockwheel::ownership {

Action AnswerWith(model::CallId call, CallResult result) {
  return AnswerCaller{call, std::move(result)};
}

}  // namespace burdockwheel::ownership
