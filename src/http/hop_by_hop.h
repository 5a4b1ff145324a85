// Headers that concern one connection only (RFC 9110, 7.6.1).
#pragma once

#include <vector>

#include "http/message.h"

namespace burdockwheel::http {

// Removes the headers that an intermediary must not forward: those that
// Connection names, Connection itself and its customary companions. Also
// removes Content-Length, which is set anew from the whole body.
void RemoveHopByHopHeaders(std::vector<Header>& headers);

}  // namespace burdockwheel::http
