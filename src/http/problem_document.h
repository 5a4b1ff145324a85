// Problem documents (RFC 9457) for the failures that a host reports itself.
#pragma once

#include <string_view>

#include "http/message.h"
#include "http/message_conventions.h"
#include "model/refusal.h"

namespace burdockwheel::http {

// Builds the answer that tells a caller of a refusal. Its member "run" says
// whether the call was run. An empty `request_id` is not told.
Answer MakeProblemAnswer(const model::Refusal& refusal,
                         std::string_view request_id,
                         const MessageConventions& conventions);

// The same with another status, for requests that break HTTP itself.
Answer MakeProblemAnswer(int status, const model::Refusal& refusal,
                         std::string_view request_id,
                         const MessageConventions& conventions);

}  // namespace burdockwheel::http
