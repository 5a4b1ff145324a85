// The Retry-After header of answers.
#pragma once

#include <chrono>

#include "http/message.h"

namespace burdockwheel::http {

// Returns how long a 503 asks to be left alone (RFC 9110, section 10.2.3):
// seconds, which may have a fraction. Zero for other answers, for dates and for
// what cannot be read; at most an hour.
std::chrono::milliseconds PauseAskedBy(const Answer& answer);

}  // namespace burdockwheel::http
