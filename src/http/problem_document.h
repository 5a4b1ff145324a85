// Problem documents (RFC 9457) for the failures that a host reports itself.
#pragma once

#include <string_view>

#include "http/message.h"
#include "model/refusal.h"

namespace burdockwheel::http {

// Builds the answer that tells a caller of a refusal. Its member "run" says
// whether the call was run.
Answer MakeProblemAnswer(const model::Refusal& refusal,
                         std::string_view request_id);

}  // namespace burdockwheel::http
