// How much a log line matters.
#pragma once

namespace burdockwheel::telemetry {

enum class LogLevel { kDebug, kInfo, kWarning, kError };

}  // namespace burdockwheel::telemetry
