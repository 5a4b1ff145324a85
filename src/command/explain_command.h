// The command that tells why a host treated something as it did.
#pragma once

#include <optional>
#include <string>
#include <vector>

namespace burdockwheel::command {

enum class ExplainOutcome { kExplained, kNothingKnown, kUnreachable };

// Asks the admin address of a running host for the changes that concern
// `subject` (a worker's address, "configuration", a member's or service's name)
// and prints them oldest first, each with its cause and evidence.
ExplainOutcome Explain(const std::string& admin_address,
                       const std::string& subject);

// Prints what became of a call by the logs of any number of hosts: the cause,
// the call's lines, and what its hosts learnt meanwhile. "-" is standard input.
// Returns the path of a log that cannot be read, if there is one.
std::optional<std::string> ExplainFromLogs(
    const std::vector<std::string>& paths, const std::string& call);

}  // namespace burdockwheel::command
