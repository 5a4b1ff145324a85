// The command that tells why a host treated something as it did.
#pragma once

#include <string>

namespace burdockwheel::command {

enum class ExplainOutcome { kExplained, kNothingKnown, kUnreachable };

// Asks the admin address of a running host for the changes that concern
// `subject` (a worker's address, "configuration", a member's or service's name)
// and prints them oldest first, each with its cause and evidence.
ExplainOutcome Explain(const std::string& admin_address,
                       const std::string& subject);

}  // namespace burdockwheel::command
