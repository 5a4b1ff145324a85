#include "telemetry/audit_trail.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "telemetry/event_log.h"

namespace burdockwheel::telemetry {

AuditTrail::AuditTrail(std::size_t most_entries) : most_entries(most_entries) {}

void AuditTrail::Record(AuditEntry entry) {
  entry.time = std::chrono::system_clock::now();
  LogEvent(LogLevel::kInfo, "change",
           {{"subject", entry.subject},
            {"from", entry.from},
            {"to", entry.to},
            {"cause", entry.cause},
            {"evidence", entry.evidence}});
  const std::lock_guard<std::mutex> lock(this->mutex);
  this->last_sequence += 1;
  entry.sequence = this->last_sequence;
  this->entries.push_back(std::move(entry));
  if (this->entries.size() > this->most_entries) this->entries.pop_front();
}

std::vector<AuditEntry> AuditTrail::Entries(const std::string& filter) const {
  const std::lock_guard<std::mutex> lock(this->mutex);
  std::vector<AuditEntry> found;
  for (const auto& entry : this->entries) {
    const bool is_match = entry.subject.find(filter) != std::string::npos ||
                          entry.evidence.find(filter) != std::string::npos;
    if (!is_match) continue;
    found.push_back(entry);
  }
  return found;
}

std::string AuditEntriesAsJson(const std::vector<AuditEntry>& entries) {
  auto list = nlohmann::ordered_json::array();
  for (const auto& entry : entries) {
    const auto time = std::chrono::duration_cast<std::chrono::milliseconds>(
        entry.time.time_since_epoch());
    list.push_back({{"sequence", entry.sequence},
                    {"time_unix_ms", time.count()},
                    {"subject", entry.subject},
                    {"from", entry.from},
                    {"to", entry.to},
                    {"cause", entry.cause},
                    {"evidence", entry.evidence}});
  }
  return list.dump(1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace burdockwheel::telemetry
