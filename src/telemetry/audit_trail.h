// The audit trail of a host: each change of what it holds or believes.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <mutex>
#include <string>
#include <vector>

namespace burdockwheel::telemetry {

// One change: of the configuration, the membership, a worker's standing or a
// policy.
struct AuditEntry {
  std::uint64_t sequence = 0;  // rises by one with each entry of a process
  std::chrono::system_clock::time_point time;
  std::string subject;   // such as "worker 127.0.0.1:8080"
  std::string from;      // the state before
  std::string to;        // the state after
  std::string cause;     // a short fixed name
  std::string evidence;  // the figures that led to it
};

// Keeps the newest changes in memory, since hosts have no disks, and writes
// each to the event log. Safe to use from several threads.
class AuditTrail {
 public:
  explicit AuditTrail(std::size_t most_entries);

  // Appends a change; its sequence number and time are set here.
  void Record(AuditEntry entry);

  // Returns the kept entries, oldest first, whose subject or evidence contains
  // `filter`; all of them if it is empty.
  std::vector<AuditEntry> Entries(const std::string& filter) const;

 private:
  const std::size_t most_entries;
  mutable std::mutex mutex;
  std::deque<AuditEntry> entries;
  std::uint64_t last_sequence = 0;
};

// Writes entries as a JSON array.
std::string AuditEntriesAsJson(const std::vector<AuditEntry>& entries);

}  // namespace burdockwheel::telemetry
