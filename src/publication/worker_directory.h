// What the platform's list tells of the workers, in spite of gaps and late
// records.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "kernel/instant.h"
#include "model/worker_record.h"
#include "publication/published_item.h"

namespace burdockwheel::publication {

// Why the directory's word on a worker changed.
enum class DirectoryCause {
  kListed,        // it is new, or a new life of a known worker
  kChanged,       // its record says something new
  kDrainListed,   // its record says that it leaves
  kRemoved,       // its record was removed
  kLapsed,        // its record went while the platform was not sound
  kLapseOver,     // it did not come back in time
  kListedAgain,   // a lapsed record is back
  kStaleIgnored,  // a record older than the one that is held
  kUnreadable,    // the item cannot be read; it names no worker
};

// Returns a short fixed name, such as "drain-listed".
std::string_view DirectoryCauseName(DirectoryCause cause);

struct DirectoryChange {
  model::WorkerId worker;
  DirectoryCause cause = DirectoryCause::kListed;
  StoreRevision revision;  // of the platform
  std::string evidence;    // key=value pairs
};

// Orders the records of each worker by life and sequence, so that a late one
// changes nothing. A drain holds to the end of a life, whatever is listed
// later. Records that went while the platform was not sound are kept until it
// has been sound for the lapse grace. Pure.
class WorkerDirectory {
 public:
  // Lapsed records are back about two seconds after the platform is sound
  // again.
  static constexpr std::chrono::milliseconds kLapseGrace{2100};
  // How long an ended life is remembered against late records of it.
  static constexpr std::chrono::minutes kTombstoneAge{5};

  void Observe(const PublishedItem& item);
  void ObserveGone(kernel::Instant now, const std::string& name,
                   const StoreRevision& revision);
  // Takes the failure domains whose workers are to get nothing, which their
  // records tell from then on.
  void SetEvacuated(std::set<model::FailureDomain> domains) {
    this->evacuated = std::move(domains);
  }
  void NoteSourceLost();
  void NoteSourceRegained(kernel::Instant now);

  // Makes the changes that time alone brings.
  void Advance(kernel::Instant now);

  // Returns when Advance has something to do, or nothing.
  std::optional<kernel::Instant> NextWake() const;

  // The workers of the list, draining ones included, in the order of their
  // names.
  std::vector<model::WorkerRecord> Records() const;

  // Returns what changed since the last call, oldest first.
  std::vector<DirectoryChange> TakeChanges();

 private:
  struct Entry {
    model::WorkerRecord record;
    std::uint64_t sequence = 0;
    bool is_listed = true;
    std::optional<kernel::Instant> lapsed_at;  // still counts as listed
    kernel::Instant removed_at;                // meaningful if not listed
  };

  void ObserveWorker(const PublishedItem& item, const PublishedWorker& worker);
  static bool IsStale(const Entry& entry, const PublishedWorker& worker);
  bool IsSourceSound(kernel::Instant now) const;
  void Note(const Entry& entry, DirectoryCause cause,
            const StoreRevision& revision);

  std::map<std::string, Entry> entries;  // by the item's name
  std::set<model::FailureDomain> evacuated;
  bool is_source_lost = false;
  std::optional<kernel::Instant> regained_at;
  std::vector<DirectoryChange> changes;
};

}  // namespace burdockwheel::publication
