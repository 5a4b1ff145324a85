#include "command/trace_command.h"

#include <fstream>
#include <iostream>
#include <string_view>

#include "ownership/ownership_replay.h"
#include "trace/trace_replay.h"

namespace burdockwheel::command {

namespace {

// A trace of the engine begins with its settings, one of ownership with a step.
bool IsEngineTrace(std::istream& input) {
  std::string line;
  std::getline(input, line);
  input.clear();
  input.seekg(0);
  return line.find("\"trace\"") != std::string::npos;
}

bool ReplayOfEngine(const std::string& path, std::istream& input) {
  const auto replay = trace::ReplayEngineTrace(input);
  if (replay.HasValue()) {
    std::cout << path << ": met, " << replay.Value().events << " events, "
              << replay.Value().outcome << "\n";
    return true;
  }
  const auto& failure = replay.Failure();
  std::cerr << path << ":" << failure.line << ": "
            << trace::TraceFailureReasonName(failure.reason) << "\n  expected "
            << failure.expected << "\n  got      " << failure.got << "\n";
  return false;
}

bool ReplayOfOwnership(const std::string& path, std::istream& input) {
  const auto replay = ownership::ReplayOwnershipTrace(input);
  if (replay.HasValue()) {
    std::cout << path << ": met, " << replay.Value().steps << " steps, "
              << replay.Value().expectations << " stated outcomes\n";
    return true;
  }
  std::cerr << path << ":" << replay.Failure().line << ": "
            << ownership::ReplayFailureName(replay.Failure()) << "\n";
  return false;
}

}  // namespace

bool ReplayTraces(const std::vector<std::string>& paths) {
  bool are_all_met = true;
  for (const auto& path : paths) {
    std::ifstream input(path);
    if (!input) {
      std::cerr << "burdockwheel: cannot read " << path << "\n";
      are_all_met = false;
      continue;
    }
    const bool is_met = IsEngineTrace(input) ? ReplayOfEngine(path, input)
                                             : ReplayOfOwnership(path, input);
    are_all_met = are_all_met && is_met;
  }
  return are_all_met;
}

}  // namespace burdockwheel::command
