// The log of a host: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

namespace burdockwheel::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

// One key=value pair. Values with blanks, quotes or control characters are
// written quoted and escaped, so that a line can always be taken apart again.
struct LogField {
  LogField(std::string_view key, std::string_view value);
  LogField(std::string_view key, std::int64_t value);

  std::string_view key;
  std::string value;
};

// Starts the thread that writes log lines to standard error. Lines beyond its
// bounded queue are dropped and counted rather than waited for.
void StartEventLog(LogLevel lowest_level);

// Writes what is queued and ends the thread.
void StopEventLog();

// Appends one line: the time, the level, the event's name and the fields.
void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields);

// Formats fields as " key=value" pairs.
std::string FormatLogFields(std::initializer_list<LogField> fields);

}  // namespace burdockwheel::telemetry
