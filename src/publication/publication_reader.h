// Keeps a host's copy of what the platform publishes up to date.
#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "kernel/instant.h"
#include "publication/reader_actions.h"
#include "publication/reader_events.h"
#include "publication/reader_order.h"
#include "publication/store_revision.h"
#include "publication/watch_schedule.h"

namespace burdockwheel::publication {

struct ReaderSettings {
  model::Incarnation incarnation;
  model::FailureDomain failure_domain;
  // How long the platform is asked to wait for a change.
  std::chrono::milliseconds watch_wait{1800};
  // Whether one host of each failure domain reads for the others.
  bool is_shared = false;
  std::uint64_t random_seed = 0;
};

// Lists all items once, then follows their changes; lists again when the
// platform no longer keeps the changes in between. Where reading is shared, the
// first host of each domain's order watches the platform and passes on what it
// reads; the others read only what they have missed, and watch themselves once
// no host before them has told for a while that it does. A platform that stops
// answering just the hosts that read is noticed by the age of its last answer
// to any of them, which their beacons carry. Nothing is agreed on: hosts that
// know little of one another read more than needed. Pure: the same events at
// the same times with the same seed give the same actions.
class PublicationReader {
 public:
  // Between a failed read and the next; doubles up to the longest. Every read
  // is paid for, those that fail included.
  static constexpr std::chrono::milliseconds kShortestBackOff{60};
  static constexpr std::chrono::milliseconds kLongestBackOff{480};
  // A host with a whole listing that peers should read for waits the longest
  // back-off twice more for each peer before it, up to this: a lost platform is
  // asked by a fleet about as often as by a few hosts, and the first that is
  // answered tells the others.
  static constexpr std::chrono::milliseconds kLongestRankedBackOff{10000};
  // The same for a host whose peers read.
  static constexpr std::chrono::milliseconds kCoveredBackOff{2000};
  // Between the beginnings of two watches. Changes that come in quick
  // succession, as at the start of a deployment, are read together.
  static constexpr std::chrono::milliseconds kWatchSpacing{400};
  // A revision that a peer of the own domain knows and that has not arrived
  // here after this time was lost on the way.
  static constexpr std::chrono::milliseconds kRevisionPatience{250};
  // The same for one that another domain knows. The reader of the own domain
  // may begin its next watch a whole spacing later than the other.
  static constexpr std::chrono::milliseconds kFarRevisionPatience{450};
  // How often a host that reads says so, at least: to its own domain, and to
  // the others. It also tells all of each answer of the platform.
  static constexpr std::chrono::milliseconds kBeaconInterval{250};
  static constexpr std::chrono::milliseconds kWideBeaconInterval{750};
  // For how long a host that reads counts as reading after it said so.
  static constexpr std::chrono::milliseconds kBeaconPatience{700};
  // A host that has not heard for this time that the platform answered any
  // host asks itself: the spacing of its answers, a lost beacon and what the
  // answer and the beacon take.
  static constexpr std::chrono::milliseconds kMostAnswerAge{1000};
  // How much longer a host waits for those before it in both cases. Each step
  // lets twice as many hosts go on, so that a third of them may be without
  // answers: one that is answered tells those who still wait.
  static constexpr std::chrono::milliseconds kRankStep{120};
  // For how long a host that has just listed leaves the reading to peers that
  // it may not know yet. A host learns of its peers within this time, and its
  // listing is no older.
  static constexpr std::chrono::milliseconds kFirstPatience{1000};
  // Two hosts of the deployment read at least, so that one of them notices what
  // the other has missed.
  static constexpr std::size_t kLeastReaders = 2;

  explicit PublicationReader(const ReaderSettings& settings);

  // Takes one event and appends what is to be done to `actions`. `now` never
  // falls from one event to the next. The first event should be TimerFired.
  void Handle(kernel::Instant now, const ReaderEvent& event,
              ReaderActions& actions);

  // Up to which revision of the platform the copy is complete.
  const StoreRevision& Revision() const { return this->revision; }
  // Tells whether a whole listing has been read.
  bool HasListing() const { return this->has_listing; }
  // Tells whether neither the platform nor a peer that reads it is heard.
  bool IsLost() const { return this->is_told_lost; }
  bool IsWatching() const { return this->phase == Phase::kWatching; }
  // How many hosts this one tells what it has read.
  std::size_t NearPeers() const { return this->order.NearPeers(); }
  // What this host tells its peers of its reading; `revision` is the one that
  // they are to know of.
  ReaderBeacon MakeBeacon(kernel::Instant now,
                          const StoreRevision& revision) const;

 private:
  enum class Phase { kIdle, kListing, kWatching };

  void HandleEvent(kernel::Instant now, const TimerFired& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const PageRead& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const ChangesRead& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const LargeAnswerBegun& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const BeaconHeard& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const UpdateHeard& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const PeersListed& event,
                   ReaderActions& actions);
  void HandleEvent(kernel::Instant now, const PauseEnded& event,
                   ReaderActions& actions);

  // Reading.
  void ReadWhenDue(kernel::Instant now, ReaderActions& actions);
  void BeginListing(ReaderActions& actions);
  void BeginWatch(kernel::Instant now, std::chrono::milliseconds wait,
                  ReaderActions& actions);
  void CompleteListing(kernel::Instant now, ReaderActions& actions);
  void Apply(const Change& change, ReaderActions& actions);
  void NoteHeard(kernel::Instant now, const StoreRevision& heard,
                 std::chrono::milliseconds patience);
  // Tells of a new era of the platform before the changes up to `revision`.
  void TellRestored(const StoreRevision& revision,
                    ReaderActions& actions) const;
  void NoteAnswer(kernel::Instant answered_at);
  void NoteSuccess(kernel::Instant now, ReaderActions& actions);
  void NoteFailure(kernel::Instant now, ReadFailure failure,
                   ReaderActions& actions);
  kernel::Instant::duration BackOff(kernel::Instant now);
  std::chrono::milliseconds LongestBackOff() const;

  // Sharing.
  bool IsSharing() const;
  // Tells whether nothing was read before the listing that is there now.
  bool IsFirstListing() const { return this->untold_from == StoreRevision(); }
  // Tells whether this host reads as long as all hosts before it live.
  bool IsReader() const;
  // Tells whether a platform that does not answer is left to the hosts before
  // this one, which has a listing to go on with.
  bool IsLeftToOthers() const;
  // Tells whether this host has just listed and does not know yet who reads.
  bool IsAwaitingReaders(kernel::Instant now) const;
  // Tells whether a host before this one reads for it, or is taken to.
  bool IsRelieved(kernel::Instant now) const;
  bool IsCovered(kernel::Instant now) const;
  std::chrono::milliseconds Patience() const;
  // How much longer this host waits than the first of its domain.
  std::chrono::milliseconds RankDelay() const;
  // When the platform's next answer to any host is overdue or, if it is, when
  // this host asks unless a host before it has been answered until then.
  std::optional<kernel::Instant> OverdueAt(kernel::Instant now) const;
  void AskWhenOverdue(kernel::Instant now, ReaderActions& actions);
  void TellPeers(kernel::Instant now, ReaderActions& actions);
  void ForgetUntold();
  void TellLoss(kernel::Instant now, ReaderActions& actions);
  std::optional<kernel::Instant> NextWake(kernel::Instant now) const;

  ReaderSettings settings;
  ReaderOrder order;
  WatchSchedule schedule;
  std::mt19937_64 random;
  StoreRevision revision;
  // The revision of each item's newest change that is known.
  std::unordered_map<std::string, StoreRevision> items;
  StoreRevision listing_floor;
  std::set<std::string> listed;  // by the listing under way

  std::optional<kernel::Instant> failing_since;
  std::optional<kernel::Instant> retry_at;
  kernel::Instant watch_begun_at;
  std::chrono::milliseconds watch_wait{0};  // of the watch under way
  StoreRevision heard_revision;
  // When to read what a peer knows and this host does not.
  std::optional<kernel::Instant> catch_up_at;
  // When the platform answered this host, and any host that is known of.
  std::optional<kernel::Instant> own_answer_at;
  std::optional<kernel::Instant> newest_answer_at;
  // Since when the next answer is overdue and this host waits for those before
  // it to ask, and the newest answer at that time. Answers in other domains
  // don't end this: their hosts don't pass on changes to this one.
  std::optional<kernel::Instant> missed_since;
  std::optional<kernel::Instant> missed_after;

  std::optional<kernel::Instant> awaits_readers_until;
  std::optional<kernel::Instant> relieved_at;  // by a host before this one
  std::optional<kernel::Instant> covered_at;   // by any host of the domain
  // Since when this host reads although a host before it says that it does,
  // until that one has been answered again.
  std::optional<kernel::Instant> stands_in_since;
  // What was read and not passed on: also by a host before this one, which may
  // have failed.
  std::vector<Change> untold;
  StoreRevision untold_from;
  kernel::Instant next_beacon;
  kernel::Instant next_wide_beacon;

  int failures = 0;  // in a row
  Phase phase = Phase::kIdle;
  ReadFailure last_failure = ReadFailure::kUnreachable;
  bool has_listing = false;
  bool is_first_page = true;
  bool is_answered = false;  // since this host began to watch or was lost
  bool is_answer_untold = false;
  bool has_read_change = false;     // in the last batch of changes
  bool is_answer_arriving = false;  // to the read under way
  bool is_told_lost = false;
  bool has_peers = false;
};

}  // namespace burdockwheel::publication
