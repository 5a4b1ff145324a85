#include "telemetry/event_log.h"

#include <unistd.h>

#include <algorithm>
#include <array>
#include <atomic>
#include <boost/log/core.hpp>
#include <boost/log/sinks/basic_sink_backend.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <charconv>
#include <chrono>
#include <ctime>
#include <memory>
#include <mutex>
#include <utility>

#include "telemetry/line_budget.h"
#include "telemetry/line_writer.h"

namespace burdockwheel::telemetry {

namespace {

namespace sinks = boost::log::sinks;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

// A host whose every worker changes its standing once a second stays below it.
constexpr double kLinesPerSecond = 300;
// Bounds a line together with the number of its fields.
constexpr std::size_t kMostValueBytes = 256;
// How often lost lines are told of in the log itself.
constexpr milliseconds kLossReportPeriod{1000};

// Hands formatted lines to the writing thread.
class LineBackend
    : public sinks::basic_formatted_sink_backend<char,
                                                 sinks::synchronized_feeding> {
 public:
  void consume(const boost::log::record_view& /*record*/,
               const string_type& line) {
    this->writer.Append(line);
  }

  std::uint64_t Dropped() const { return this->writer.Dropped(); }

 private:
  LineWriter writer{STDOUT_FILENO};
};

using Sink = sinks::synchronous_sink<LineBackend>;

std::atomic<LogLevel> lowest_written_level{LogLevel::kInfo};

steady_clock::time_point StartTime() {
  static const auto kStart = steady_clock::now();
  return kStart;
}

// Set before other threads start.
std::string& HostName() {
  static std::string name;
  return name;
}

// Set before other threads start and reset after they have ended.
boost::shared_ptr<Sink>& PresentSink() {
  static boost::shared_ptr<Sink> sink;
  return sink;
}

// What the lines of LogEvent share.
struct SharedBudget {
  std::mutex mutex;
  LineBudget lines{kLinesPerSecond};
  steady_clock::time_point reported_at;
  std::uint64_t reported_dropped = 0;
  std::uint64_t suppressed = 0;  // all that were reported
};

SharedBudget& Budget() {
  static SharedBudget budget;
  return budget;
}

std::string_view LevelName(LogLevel level) {
  switch (level) {
    case LogLevel::kDebug:
      return "debug";
    case LogLevel::kInfo:
      return "info";
    case LogLevel::kWarning:
      return "warning";
    case LogLevel::kError:
      return "error";
  }
  return "error";
}

bool NeedsQuotes(std::string_view value) {
  if (value.empty()) return true;
  return std::any_of(value.begin(), value.end(), [](char character) {
    const auto code = static_cast<unsigned char>(character);
    return code <= ' ' || character == '"' || character == '\\' ||
           character == '=' || code == 0x7F;
  });
}

void AppendQuoted(std::string_view value, std::string& line) {
  constexpr std::string_view kHexDigits = "0123456789abcdef";
  line.push_back('"');
  for (const char character : value) {
    const auto code = static_cast<unsigned char>(character);
    if (character == '"' || character == '\\') {
      line.push_back('\\');
      line.push_back(character);
      continue;
    }
    if (code < ' ' || code == 0x7F) {
      line.append("\\x");
      line.push_back(kHexDigits[code >> 4U]);
      line.push_back(kHexDigits[code & 0xFU]);
      continue;
    }
    line.push_back(character);
  }
  line.push_back('"');
}

// RFC 3339 in UTC with milliseconds.
void AppendWallTime(std::string& line) {
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto fraction =
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count() %
      1000;
  thread_local std::time_t written_seconds = -1;
  thread_local std::array<char, 24> written{};
  thread_local std::size_t size = 0;
  if (seconds != written_seconds) {
    std::tm parts{};
    gmtime_r(&seconds, &parts);
    size = std::strftime(written.data(), written.size(), "%Y-%m-%dT%H:%M:%S",
                         &parts);
    written_seconds = seconds;
  }
  line.append(written.data(), size).push_back('.');
  line.push_back(static_cast<char>('0' + fraction / 100));
  line.push_back(static_cast<char>('0' + fraction / 10 % 10));
  line.push_back(static_cast<char>('0' + fraction % 10));
  line.push_back('Z');
}

std::string TwoDecimals(double value) {
  std::array<char, 64> text{};
  const auto end = std::to_chars(text.data(), text.data() + text.size(), value,
                                 std::chars_format::fixed, 2);
  // A number that is too long for this says nothing in a log.
  if (end.ec != std::errc()) return "large";
  return {text.data(), end.ptr};
}

void AppendFields(std::initializer_list<LogField> fields, std::string& line) {
  for (const auto& field : fields) {
    line.append(" ").append(field.key).append("=");
    if (NeedsQuotes(field.value)) {
      AppendQuoted(field.value, line);
      continue;
    }
    line.append(field.value);
  }
}

std::uint64_t DroppedLines() {
  const auto sink = PresentSink();
  return sink ? sink->locked_backend()->Dropped() : 0;
}

// Returns the line that tells of lost ones, if there are any.
std::string TakeLossReport(steady_clock::time_point now) {
  auto& budget = Budget();
  const auto dropped = DroppedLines();
  const std::lock_guard<std::mutex> lock(budget.mutex);
  if (now - budget.reported_at < kLossReportPeriod) return {};
  const auto suppressed = budget.lines.TakeSuppressed();
  const auto newly_dropped = dropped - budget.reported_dropped;
  if (suppressed == 0 && newly_dropped == 0) return {};
  budget.reported_at = now;
  budget.reported_dropped = dropped;
  budget.suppressed += suppressed;
  return FormatLogLine(
      LogLevel::kWarning, "log-lines-lost",
      {{"over_rate", suppressed}, {"not_taken", newly_dropped}});
}

}  // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : key(key), value(value.substr(0, kMostValueBytes)) {}

LogField::LogField(std::string_view key, std::int64_t value)
    : key(key), value(std::to_string(value)) {}

LogField::LogField(std::string_view key, std::uint64_t value)
    : key(key), value(std::to_string(value)) {}

LogField::LogField(std::string_view key, int value)
    : key(key), value(std::to_string(value)) {}

LogField::LogField(std::string_view key, double value)
    : key(key), value(TwoDecimals(value)) {}

std::string FormatLogFields(std::initializer_list<LogField> fields) {
  std::string line;
  AppendFields(fields, line);
  return line;
}

std::string FormatLogLine(LogLevel level, std::string_view event,
                          std::initializer_list<LogField> fields) {
  constexpr std::size_t kUsualSize = 256;
  std::string line;
  line.reserve(kUsualSize);
  line.append("time=");
  AppendWallTime(line);
  const auto up = std::chrono::duration_cast<milliseconds>(steady_clock::now() -
                                                           StartTime());
  line.append(" up_ms=").append(std::to_string(up.count()));
  AppendFields({{"host", HostName()}}, line);
  line.append(" level=").append(LevelName(level));
  line.append(" event=").append(event);
  AppendFields(fields, line);
  return line;
}

void SetLowestLevel(LogLevel lowest_level) {
  lowest_written_level = lowest_level;
}

bool IsLogged(LogLevel level) {
  return level >= lowest_written_level.load(std::memory_order_relaxed);
}

void StartEventLog(std::string host, LogLevel lowest_level) {
  StartTime();
  HostName() = std::move(host);
  SetLowestLevel(lowest_level);
  PresentSink() = boost::make_shared<Sink>();
  boost::log::core::get()->add_sink(PresentSink());
}

void StopEventLog() {
  if (!PresentSink()) return;
  boost::log::core::get()->remove_sink(PresentSink());
  PresentSink().reset();
}

void SubmitLogLine(LogLevel level, const std::string& line) {
  if (!IsLogged(level)) return;
  thread_local boost::log::sources::severity_logger<LogLevel> logger;
  BOOST_LOG_SEV(logger, level) << line;
}

void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields) {
  if (!IsLogged(level)) return;
  const auto now = steady_clock::now();
  const auto losses = TakeLossReport(now);
  if (!losses.empty()) SubmitLogLine(LogLevel::kWarning, losses);
  {
    auto& budget = Budget();
    const std::lock_guard<std::mutex> lock(budget.mutex);
    if (!budget.lines.TryTake(now)) return;
  }
  SubmitLogLine(level, FormatLogLine(level, event, fields));
}

LogLosses LossesOfEventLog() {
  LogLosses losses;
  losses.dropped = DroppedLines();
  auto& budget = Budget();
  const std::lock_guard<std::mutex> lock(budget.mutex);
  losses.suppressed = budget.suppressed + budget.lines.Suppressed();
  return losses;
}

}  // namespace burdockwheel::telemetry
