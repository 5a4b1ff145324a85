#include "http/retry_after.h"

#include <algorithm>
#include <charconv>

namespace burdockwheel::http {

namespace {

constexpr int kServiceUnavailable = 503;
constexpr std::chrono::duration<double> kMaxPause = std::chrono::hours(1);

bool IsDigit(char character) { return character >= '0' && character <= '9'; }

}  // namespace

std::chrono::milliseconds PauseAskedBy(const Answer& answer) {
  if (answer.status != kServiceUnavailable) return {};
  const auto* value = HeaderOrNull(answer.headers, "Retry-After");
  if (value == nullptr) return {};
  double seconds = 0;
  const auto* const end = value->data() + value->size();
  const auto parsed =
      std::from_chars(value->data(), end, seconds, std::chars_format::fixed);
  // Names of special values are no seconds.
  const bool is_number = !value->empty() && IsDigit(value->front()) &&
                         parsed.ec == std::errc() && parsed.ptr == end;
  if (!is_number || !(seconds > 0)) return {};
  const std::chrono::duration<double> pause(seconds);
  return std::chrono::ceil<std::chrono::milliseconds>(
      std::min(pause, kMaxPause));
}

}  // namespace burdockwheel::http
