// One line of a host's log, taken apart.
#pragma once

#include <chrono>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace burdockwheel::explain {

struct LogLine {
  std::chrono::system_clock::time_point time;
  std::chrono::milliseconds up{0};  // since its process started
  std::string host;
  int life = 0;  // which start of the host; filled in by AlignTimes
  std::string event;
  std::map<std::string, std::string, std::less<>> fields;  // the others
  std::string text;                                        // as written

  // Returns a field's value, or an empty one.
  const std::string& Field(std::string_view key) const;

  // Returns a field that holds a number, or `otherwise`.
  double Number(std::string_view key, double otherwise = 0) const;
};

// Numbers the lives of each host and sets the lines' times by their processes'
// own clocks, so that jumps of the time of day do not put them out of order.
void AlignTimes(std::vector<LogLine>& lines);

// Takes a line apart; what a log collector has put before it is passed over.
// Returns nothing if it is no line of an entry host.
std::optional<LogLine> TryParseLogLine(std::string_view text);

}  // namespace burdockwheel::explain
