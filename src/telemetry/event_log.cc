#include "telemetry/event_log.h"

#include <algorithm>
#include <atomic>
#include <boost/core/null_deleter.hpp>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/async_frontend.hpp>
#include <boost/log/sinks/bounded_fifo_queue.hpp>
#include <boost/log/sinks/drop_on_overflow.hpp>
#include <boost/log/sinks/text_ostream_backend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/smart_ptr/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>
#include <chrono>
#include <ctime>
#include <iomanip>
#include <iostream>
#include <sstream>

namespace burdockwheel::telemetry {

namespace {

namespace sinks = boost::log::sinks;

constexpr std::size_t kMostQueuedLines = 4096;

using Sink = sinks::asynchronous_sink<
    sinks::text_ostream_backend,
    sinks::bounded_fifo_queue<kMostQueuedLines, sinks::drop_on_overflow>>;

std::atomic<LogLevel> lowest_written_level{LogLevel::kInfo};

boost::shared_ptr<Sink>& PresentSink() {
  static boost::shared_ptr<Sink> sink;
  return sink;
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
std::string WallTime() {
  const auto now = std::chrono::system_clock::now();
  const auto seconds = std::chrono::system_clock::to_time_t(now);
  const auto milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(
          now.time_since_epoch())
          .count() %
      1000;
  std::tm parts{};
  gmtime_r(&seconds, &parts);
  std::ostringstream text;
  text << std::put_time(&parts, "%Y-%m-%dT%H:%M:%S") << '.' << std::setw(3)
       << std::setfill('0') << milliseconds << 'Z';
  return text.str();
}

}  // namespace

LogField::LogField(std::string_view key, std::string_view value)
    : key(key), value(value) {}

LogField::LogField(std::string_view key, std::int64_t value)
    : key(key), value(std::to_string(value)) {}

std::string FormatLogFields(std::initializer_list<LogField> fields) {
  std::string line;
  for (const auto& field : fields) {
    line.append(" ").append(field.key).append("=");
    if (NeedsQuotes(field.value)) {
      AppendQuoted(field.value, line);
      continue;
    }
    line.append(field.value);
  }
  return line;
}

void StartEventLog(LogLevel lowest_level) {
  lowest_written_level = lowest_level;
  const auto backend = boost::make_shared<sinks::text_ostream_backend>();
  backend->add_stream(
      boost::shared_ptr<std::ostream>(&std::clog, boost::null_deleter()));
  backend->auto_flush(true);
  PresentSink() = boost::make_shared<Sink>(backend);
  boost::log::core::get()->add_sink(PresentSink());
}

void StopEventLog() {
  if (!PresentSink()) return;
  boost::log::core::get()->remove_sink(PresentSink());
  PresentSink()->stop();
  PresentSink()->flush();
  PresentSink().reset();
}

void LogEvent(LogLevel level, std::string_view event,
              std::initializer_list<LogField> fields) {
  if (level < lowest_written_level.load(std::memory_order_relaxed)) return;
  thread_local boost::log::sources::severity_logger<LogLevel> logger;
  BOOST_LOG_SEV(logger, level)
      << "time=" << WallTime() << " level=" << LevelName(level)
      << " event=" << event << FormatLogFields(fields);
}

}  // namespace burdockwheel::telemetry
