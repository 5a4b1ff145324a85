// The command that replays recorded traces.
#pragma once

#include <string>
#include <vector>

namespace burdockwheel::command {

// Replays each trace against the outcome that it states and prints a line for
// each. Returns whether all were met.
bool ReplayTraces(const std::vector<std::string>& paths);

}  // namespace burdockwheel::command
