// The load that workers' answers carry.
#pragma once

#include <optional>
#include <string_view>

#include "model/attempt_outcome.h"

namespace burdockwheel::http {

inline constexpr std::string_view kLoadHeader = "Burdockwheel-Load";
inline constexpr std::string_view kRunHeader = "Burdockwheel-Run";
inline constexpr std::string_view kRetryHeader = "Burdockwheel-Retry";

// Parses a value such as "in-flight=3, queued=2, draining", a dictionary of
// structured fields (RFC 8941, 3.2) in its simplest form. Unknown members are
// passed over; a malformed value gives nothing.
std::optional<model::WorkerReport> ParseWorkerReportOrNull(
    std::string_view value);

}  // namespace burdockwheel::http
