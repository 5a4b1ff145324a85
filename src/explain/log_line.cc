#include "explain/log_line.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cstddef>
#include <ctime>
#include <iterator>
#include <utility>

namespace burdockwheel::explain {

namespace {

constexpr std::string_view kTimeKey = "time=";

int HexDigit(char character) {
  if (character >= '0' && character <= '9') return character - '0';
  if (character >= 'a' && character <= 'f') return character - 'a' + 10;
  return 0;
}

// Takes a quoted value from the front of `rest`, which begins after the quote.
std::string TakeQuoted(std::string_view& rest) {
  std::string value;
  std::size_t index = 0;
  while (index < rest.size() && rest[index] != '"') {
    const bool is_escape = rest[index] == '\\' && index + 1 < rest.size();
    if (!is_escape) {
      value.push_back(rest[index]);
      index += 1;
      continue;
    }
    const bool is_hex = rest[index + 1] == 'x' && index + 3 < rest.size();
    if (is_hex) {
      value.push_back(static_cast<char>(HexDigit(rest[index + 2]) * 16 +
                                        HexDigit(rest[index + 3])));
      index += 4;
      continue;
    }
    value.push_back(rest[index + 1]);
    index += 2;
  }
  rest.remove_prefix(std::min(index + 1, rest.size()));
  return value;
}

std::string TakeValue(std::string_view& rest) {
  if (!rest.empty() && rest.front() == '"') {
    rest.remove_prefix(1);
    return TakeQuoted(rest);
  }
  const auto end = std::min(rest.find(' '), rest.size());
  std::string value(rest.substr(0, end));
  rest.remove_prefix(end);
  return value;
}

// RFC 3339 in UTC with milliseconds, as the log writes it.
std::optional<std::chrono::system_clock::time_point> TimeOrNull(
    const std::string& text) {
  std::tm parts{};
  const char* end = strptime(text.c_str(), "%Y-%m-%dT%H:%M:%S", &parts);
  if (end == nullptr) return std::nullopt;
  int milliseconds = 0;
  if (*end == '.') {
    const std::string_view fraction(end + 1, 3);
    std::from_chars(fraction.data(), fraction.data() + fraction.size(),
                    milliseconds);
  }
  return std::chrono::system_clock::from_time_t(timegm(&parts)) +
         std::chrono::milliseconds(milliseconds);
}

}  // namespace

const std::string& LogLine::Field(std::string_view key) const {
  static const std::string kNone;
  const auto found = this->fields.find(key);
  return found == this->fields.end() ? kNone : found->second;
}

double LogLine::Number(std::string_view key, double otherwise) const {
  const auto& value = this->Field(key);
  double number = otherwise;
  const auto parsed =
      std::from_chars(value.data(), value.data() + value.size(), number);
  return parsed.ec == std::errc() ? number : otherwise;
}

void AlignTimes(std::vector<LogLine>& lines) {
  using Offset = std::chrono::system_clock::duration;
  std::map<std::string, int> lives;
  std::map<std::pair<std::string, int>, std::vector<Offset>> offsets;
  for (auto& line : lines) {
    if (line.event == "started") lives[line.host] += 1;
    line.life = lives[line.host];
    offsets[{line.host, line.life}].push_back(line.time.time_since_epoch() -
                                              line.up);
  }
  for (auto& [life, values] : offsets) {
    const auto middle = values.begin() + std::ssize(values) / 2;
    std::nth_element(values.begin(), middle, values.end());
  }
  for (auto& line : lines) {
    const auto& values = offsets.at({line.host, line.life});
    const auto start = values.at(values.size() / 2);
    line.time = std::chrono::system_clock::time_point(start + line.up);
  }
}

std::optional<LogLine> TryParseLogLine(std::string_view text) {
  const auto start = text.find(kTimeKey);
  if (start == std::string_view::npos) return std::nullopt;
  std::string_view rest = text.substr(start);
  LogLine line;
  line.text = rest;
  while (!rest.empty()) {
    if (rest.front() == ' ') {
      rest.remove_prefix(1);
      continue;
    }
    const auto equals = rest.find('=');
    if (equals == std::string_view::npos) break;
    std::string key(rest.substr(0, equals));
    rest.remove_prefix(equals + 1);
    line.fields.insert_or_assign(std::move(key), TakeValue(rest));
  }
  const auto time = TimeOrNull(line.Field("time"));
  line.event = line.Field("event");
  if (!time || line.event.empty()) return std::nullopt;
  line.time = *time;
  line.up = std::chrono::milliseconds(
      static_cast<std::int64_t>(line.Number("up_ms")));
  line.host = line.Field("host");
  return line;
}

}  // namespace burdockwheel::explain
