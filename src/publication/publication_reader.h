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
// no host before them has told for a while that it does. Nothing is agreed on:
// hosts that know little of one another read more than needed. Pure: the same
// events at the same times with the same seed give the same actions.
class PublicationReader {
 public:
  // Between a failed read and the next; doubles up to the longest. Every read
  // is paid for, those that fail included.
  static constexpr std::chrono::milliseconds kShortestBackOff{60};
  static constexpr std::chrono::milliseconds kLongestBackOff{480};
  // A host with a whole listing that peers should read for waits the longest
  // back-off once more for each peer before it, up to this: a lost platform is
  // asked by a fleet about as often as by a few hosts, and the first that is
  // answered tells the others.
  static constexpr std::chrono::milliseconds kLongestRankedBackOff{10000};
  // The same for a host whose peers read.
  static constexpr std::chrono::milliseconds kCoveredBackOff{2000};
  // Between the beginnings of two watches. Changes that come in quick
  // succession, as at the start of a deployment, are read together.
  static constexpr std::chrono::milliseconds kWatchSpacing{400};
  // A revision that a peer knows and that has not arrived here after this time
  // was lost on the way.
  static constexpr std::chrono::milliseconds kRevisionPatience{250};
  // How often a host that reads says so, and every how many times to other
  // domains too.
  static constexpr std::chrono::milliseconds kBeaconInterval{250};
  static constexpr int kBeaconsForWide = 3;
  // For how long a host that reads counts as reading after it said so; each
  // further host of the order waits a step longer.
  static constexpr std::chrono::milliseconds kBeaconPatience{700};
  static constexpr std::chrono::milliseconds kRankStep{150};
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
  std::uint64_t Revision() const { return this->revision; }
  // Tells whether a whole listing has been read.
  bool HasListing() const { return this->has_listing; }
  // Tells whether neither the platform nor a peer that reads it is heard.
  bool IsLost() const { return this->is_told_lost; }
  bool IsWatching() const { return this->phase == Phase::kWatching; }
  // How many hosts this one tells what it has read.
  std::size_t NearPeers() const { return this->order.NearPeers(); }

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
  void NoteHeard(kernel::Instant now, std::uint64_t heard);
  void NoteSuccess(kernel::Instant now, ReaderActions& actions);
  void NoteFailure(kernel::Instant now, ReadFailure failure,
                   ReaderActions& actions);
  kernel::Instant::duration BackOff(kernel::Instant now);
  std::chrono::milliseconds LongestBackOff() const;

  // Sharing.
  bool IsSharing() const;
  // Tells whether nothing was read before the listing that is there now.
  bool IsFirstListing() const { return this->untold_from == 0; }
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
  void TellPeers(kernel::Instant now, ReaderActions& actions);
  void ForgetUntold();
  void TellLoss(kernel::Instant now, ReaderActions& actions);
  std::optional<kernel::Instant> NextWake(kernel::Instant now) const;

  ReaderSettings settings;
  ReaderOrder order;
  std::mt19937_64 random;
  std::uint64_t revision = 0;
  // The revision of each item's newest change that is known.
  std::unordered_map<std::string, std::uint64_t> items;
  std::uint64_t listing_floor = 0;
  std::set<std::string> listed;  // by the listing under way

  std::optional<kernel::Instant> failing_since;
  std::optional<kernel::Instant> retry_at;
  kernel::Instant watch_begun_at;
  std::uint64_t heard_revision = 0;
  std::optional<kernel::Instant> heard_at;

  std::optional<kernel::Instant> awaits_readers_until;
  std::optional<kernel::Instant> relieved_at;  // by a host before this one
  std::optional<kernel::Instant> covered_at;   // by any host of the domain
  // What was read and not passed on: also by a host before this one, which may
  // have failed.
  std::vector<Change> untold;
  std::uint64_t untold_from = 0;
  kernel::Instant next_beacon;
  int beacons = 0;

  int failures = 0;  // in a row
  Phase phase = Phase::kIdle;
  ReadFailure last_failure = ReadFailure::kUnreachable;
  bool has_listing = false;
  bool is_first_page = true;
  bool is_answered = false;  // since this host began to watch or was lost
  bool is_told_lost = false;
  bool has_peers = false;
};

}  // namespace burdockwheel::publication
