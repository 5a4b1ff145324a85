// Line folding in the fields of a message (RFC 9112, section 5.2).
#pragma once

#include <string_view>

namespace burdockwheel::http {

// Tells whether a line of a header or trailer section continues the one before
// it, which only a blank at its beginning shows. `lines` begins with a line.
bool HasFoldedLine(std::string_view lines);

}  // namespace burdockwheel::http
