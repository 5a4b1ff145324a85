#include "http/worker_report_header.h"

#include <algorithm>
#include <charconv>

namespace burdockwheel::http {

namespace {

constexpr int kMostReportedCalls = 1'000'000;

bool ParseCount(std::string_view text, int& count) {
  const auto* const end = text.data() + text.size();
  const auto parsed = std::from_chars(text.data(), end, count);
  return parsed.ec == std::errc() && parsed.ptr == end && count >= 0 &&
         count <= kMostReportedCalls;
}

bool ApplyMember(std::string_view member, model::WorkerReport& report) {
  if (member == "draining") {
    report.is_draining = true;
    return true;
  }
  const auto equals = member.find('=');
  if (equals == std::string_view::npos) return true;
  const auto name = member.substr(0, equals);
  const auto value = member.substr(equals + 1);
  if (name == "in-flight") return ParseCount(value, report.calls_in_flight);
  if (name == "queued") return ParseCount(value, report.calls_queued);
  return true;
}

}  // namespace

std::optional<model::WorkerReport> ParseWorkerReportOrNull(
    std::string_view value) {
  model::WorkerReport report;
  while (!value.empty()) {
    const auto comma = std::min(value.find(','), value.size());
    auto member = value.substr(0, comma);
    while (!member.empty() && member.front() == ' ') member.remove_prefix(1);
    while (!member.empty() && member.back() == ' ') member.remove_suffix(1);
    if (!ApplyMember(member, report)) return std::nullopt;
    value.remove_prefix(std::min(comma + 1, value.size()));
  }
  return report;
}

}  // namespace burdockwheel::http
