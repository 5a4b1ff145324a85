// The log of a host: one line of key=value pairs for each event.
#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>

#include "telemetry/log_level.h"

namespace burdockwheel::telemetry {

// One key=value pair. Values with blanks, quotes or control characters are
// written quoted and escaped, so that a line can always be taken apart again;
// long ones are cut.
struct LogField {
  LogField(std::string_view key, std::string_view value);
  LogField(std::string_view key, std::int64_t value);
  LogField(std::string_view key, std::uint64_t value);
  LogField(std::string_view key, int value);
  LogField(std::string_view key, double value);  // two decimals

  std::string_view key;
  std::string value;
};

// What the log did not write, for the life of the process.
struct LogLosses {
  std::uint64_t suppressed = 0;  // lines beyond the rate that is allowed
  std::uint64_t dropped = 0;     // lines that the reader did not take
};

// Starts the thread that writes lines to standard output, each with the name of
// the host. Nobody who logs waits for whoever reads it.
void StartEventLog(std::string host, LogLevel lowest_level);

// Changes the lowest level that is written.
void SetLowestLevel(LogLevel lowest_level);

// Tells whether lines of this level are written.
bool IsLogged(LogLevel level);

// Offers what is queued to the reader for a short time and ends the thread.
void StopEventLog();

// Writes one line: the time of day, the milliseconds since the process started,
// the level, the event's name and the fields. Lines beyond a rate that all
// callers share are counted instead.
void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields);

// Returns such a line without writing it.
std::string FormatLogLine(LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields);

// Writes a line that was formatted before, for callers that bound the rate of
// their lines themselves.
void SubmitLogLine(LogLevel level, const std::string& line);

LogLosses LossesOfEventLog();

// Formats fields as " key=value" pairs.
std::string FormatLogFields(std::initializer_list<LogField> fields);

}  // namespace burdockwheel::telemetry
