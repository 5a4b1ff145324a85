#include "publication/publication_reader.h"

#include <algorithm>
#include <utility>

#include "kernel/wake_up.h"

namespace burdockwheel::publication {

namespace {

constexpr int kMostDoublings = 4;

}  // namespace

PublicationReader::PublicationReader(const ReaderSettings& settings)
    : settings(settings),
      order(settings.incarnation, settings.failure_domain),
      schedule(settings.incarnation, settings.watch_wait),
      random(settings.random_seed) {}

void PublicationReader::Handle(kernel::Instant now, const ReaderEvent& event,
                               ReaderActions& actions) {
  std::visit(
      [this, now, &actions](const auto& concrete) {
        this->HandleEvent(now, concrete, actions);
      },
      event);
  this->AskWhenOverdue(now, actions);
  this->ReadWhenDue(now, actions);
  this->TellPeers(now, actions);
  this->TellLoss(now, actions);
  if (const auto wake = this->NextWake(now))
    actions.emplace_back(WakeAt{kernel::WakeUpAfter(now, *wake)});
}

void PublicationReader::HandleEvent(kernel::Instant /*now*/,
                                    const TimerFired& /*event*/,
                                    ReaderActions& /*actions*/) {}

void PublicationReader::HandleEvent(kernel::Instant now, const PageRead& event,
                                    ReaderActions& actions) {
  if (this->phase != Phase::kListing) return;
  if (!event.result.HasValue()) {
    this->NoteFailure(now, event.result.Failure(), actions);
    return;
  }
  this->NoteSuccess(now, actions);
  const ListPage& page = event.result.Value();
  if (std::exchange(this->is_first_page, false)) {
    this->listing_floor = page.revision;
  } else if (page.revision.era != this->listing_floor.era) {
    // The pages before are from another copy.
    this->BeginListing(actions);
    return;
  }
  for (const auto& item : page.items) {
    this->listed.insert(item.name);
    this->Apply(item, actions);
  }
  if (page.has_more && !page.items.empty()) {
    actions.emplace_back(ReadPage{page.last_name});
    return;
  }
  this->CompleteListing(now, actions);
}

void PublicationReader::HandleEvent(kernel::Instant now,
                                    const ChangesRead& event,
                                    ReaderActions& actions) {
  if (this->phase != Phase::kWatching) return;
  if (!event.result.HasValue()) {
    const auto failure = event.result.Failure();
    // The same changes would be too many again; pages have a bound.
    if (failure == ReadFailure::kHistoryGone ||
        failure == ReadFailure::kTooLarge) {
      this->NoteSuccess(now, actions);
      this->BeginListing(actions);
      return;
    }
    this->NoteFailure(now, failure, actions);
    return;
  }
  const bool was_quick = !this->is_answered;
  this->NoteSuccess(now, actions);
  const ChangeBatch& batch = event.result.Value();
  for (const auto& change : batch.changes) this->Apply(change, actions);
  this->has_read_change = !batch.changes.empty();
  this->revision = std::max(this->revision, batch.revision);
  if (this->revision >= this->heard_revision) this->catch_up_at.reset();
  this->phase = Phase::kIdle;
  // What happened while the platform was not watched must not wait.
  this->retry_at = was_quick ? now : this->watch_begun_at + kWatchSpacing;
}

// What is this large takes long to arrive and is not passed on; peers that read
// it at the same time have it as soon as this host. They need to hear of no
// more than the next revision, which there must be.
void PublicationReader::HandleEvent(kernel::Instant now,
                                    const LargeAnswerBegun& /*event*/,
                                    ReaderActions& actions) {
  this->is_answer_arriving = true;
  this->own_answer_at = now;
  this->NoteAnswer(now);
  const bool is_told = this->phase == Phase::kWatching && this->IsSharing() &&
                       !this->IsRelieved(now);
  if (!is_told) return;
  const StoreRevision next(this->revision.era, this->revision.number + 1);
  actions.emplace_back(TellBeacon{this->MakeBeacon(now, next), false});
}

void PublicationReader::HandleEvent(kernel::Instant now,
                                    const BeaconHeard& event,
                                    ReaderActions& /*actions*/) {
  if (!this->settings.is_shared) return;
  const ReaderBeacon& beacon = event.beacon;
  const auto answered_at = now - beacon.answered_ago;
  this->schedule.NoteReader(now, event.sender, answered_at);
  this->NoteAnswer(now - beacon.newest_answer_ago);
  const bool is_near = event.failure_domain == this->settings.failure_domain;
  this->NoteHeard(now, beacon.revision,
                  is_near ? kRevisionPatience : kFarRevisionPatience);
  if (!is_near) return;
  this->covered_at = now;
  if (!this->order.IsBefore(event.sender, event.failure_domain)) return;
  this->relieved_at = now;
  // The platform answers a host that reads for this one.
  if (this->missed_since && answered_at > *this->missed_since)
    this->missed_since.reset();
  if (this->stands_in_since && answered_at > *this->stands_in_since)
    this->stands_in_since.reset();
  // The sender has passed on what it has read.
  if (beacon.revision >= this->revision) this->ForgetUntold();
}

void PublicationReader::HandleEvent(kernel::Instant now,
                                    const UpdateHeard& event,
                                    ReaderActions& actions) {
  const auto& update = event.update;
  const bool fits = this->has_listing && update.from <= this->revision &&
                    this->phase != Phase::kListing;
  if (!fits) {
    this->NoteHeard(now, update.to, kRevisionPatience);
    return;
  }
  if (update.to <= this->revision) return;
  this->TellRestored(update.to, actions);
  for (const auto& change : update.changes) this->Apply(change, actions);
  this->revision = update.to;
  // Another host has passed it on.
  this->ForgetUntold();
  if (this->revision >= this->heard_revision) this->catch_up_at.reset();
}

void PublicationReader::HandleEvent(kernel::Instant now,
                                    const PeersListed& event,
                                    ReaderActions& /*actions*/) {
  this->order.SetPeers(event.peers);
  this->has_peers = !event.peers.empty();
  if (!this->failing_since || !this->retry_at || this->IsCovered(now)) return;
  // Those who would have asked before this host may be gone.
  this->retry_at = std::min(*this->retry_at, now + this->LongestBackOff());
}

// The answer to the read under way may have come and gone, and a connection
// that was open before the pause may be dead.
void PublicationReader::HandleEvent(kernel::Instant now,
                                    const PauseEnded& /*event*/,
                                    ReaderActions& actions) {
  actions.emplace_back(ResetSource{});
  this->phase = Phase::kIdle;
  this->is_answered = false;
  this->retry_at = now;
  this->awaits_readers_until.reset();
  this->relieved_at.reset();
  this->covered_at.reset();
  this->missed_since.reset();
  this->stands_in_since.reset();
  // The clock may not have counted the pause.
  this->own_answer_at.reset();
  this->newest_answer_at.reset();
}

// Reading.

void PublicationReader::ReadWhenDue(kernel::Instant now,
                                    ReaderActions& actions) {
  const bool is_behind = this->catch_up_at && now >= *this->catch_up_at;
  if (this->phase == Phase::kWatching && is_behind) {
    if (this->is_answer_arriving) {
      this->catch_up_at = now + kRevisionPatience;
      return;
    }
    // The answer to the watch was lost; nothing more comes on its connection.
    actions.emplace_back(ResetSource{});
    this->catch_up_at.reset();
    this->BeginWatch(now, std::chrono::milliseconds(0), actions);
    return;
  }
  if (this->phase != Phase::kIdle) return;
  if (this->retry_at && now < *this->retry_at && !is_behind) return;
  if (!this->has_listing) {
    this->BeginListing(actions);
    return;
  }
  if (is_behind) {
    this->catch_up_at.reset();
  } else if (this->IsRelieved(now) && !this->failing_since) {
    // The listing of a host that awaits its readers has just been answered.
    if (!this->IsAwaitingReaders(now)) this->is_answered = false;
    return;
  }
  // A platform that was lost, or that this host begins to watch, is asked for a
  // quick answer, so that a hanging call is not taken for a quiet platform.
  if (!this->is_answered || is_behind) {
    this->BeginWatch(now, std::chrono::milliseconds(0), actions);
    return;
  }
  this->BeginWatch(now,
                   this->IsSharing()
                       ? this->schedule.NextWait(now, this->has_read_change)
                       : this->settings.watch_wait,
                   actions);
}

void PublicationReader::BeginListing(ReaderActions& actions) {
  this->phase = Phase::kListing;
  this->has_listing = false;
  this->is_first_page = true;
  this->listed.clear();
  actions.emplace_back(ReadPage{});
}

void PublicationReader::BeginWatch(kernel::Instant now,
                                   std::chrono::milliseconds wait,
                                   ReaderActions& actions) {
  this->phase = Phase::kWatching;
  this->is_answer_arriving = false;
  this->watch_begun_at = now;
  this->watch_wait = wait;
  this->retry_at.reset();
  actions.emplace_back(ReadChanges{this->revision, wait});
}

void PublicationReader::CompleteListing(kernel::Instant now,
                                        ReaderActions& actions) {
  this->TellRestored(this->listing_floor, actions);
  // Items that changed after the first page was taken are judged by the changes
  // that follow.
  std::vector<std::string> absent;
  for (const auto& [name, item_revision] : this->items) {
    if (item_revision > this->listing_floor) continue;
    if (!this->listed.contains(name)) absent.push_back(name);
  }
  std::ranges::sort(absent);
  for (const auto& name : absent)
    this->Apply(RemovedItem{name, this->listing_floor}, actions);
  this->has_listing = true;
  if (this->IsFirstListing()) this->awaits_readers_until = now + kFirstPatience;
  this->revision = std::max(this->revision, this->listing_floor);
  if (this->revision >= this->heard_revision) this->catch_up_at.reset();
  this->listed.clear();
  this->phase = Phase::kIdle;
  this->retry_at.reset();
  actions.emplace_back(ListingComplete{this->revision});
}

void PublicationReader::Apply(const Change& change, ReaderActions& actions) {
  if (const auto* removed = std::get_if<RemovedItem>(&change)) {
    const auto found = this->items.find(removed->name);
    if (found == this->items.end() || removed->revision < found->second) return;
    this->items.erase(found);
    actions.emplace_back(ItemGone{removed->name, removed->revision});
  } else {
    const auto& item = std::get<PublishedItem>(change);
    auto& known = this->items[item.name];
    if (item.revision <= known) return;
    known = item.revision;
    actions.emplace_back(ItemChanged{item});
  }
  if (!this->IsSharing()) return;
  const auto* item = std::get_if<PublishedItem>(&change);
  const bool is_configuration =
      item != nullptr &&
      std::holds_alternative<PublishedConfiguration>(item->content);
  // Versions that were published in quick succession may be large, and peers
  // need the newest one only.
  if (is_configuration) {
    std::erase_if(this->untold, [item](const Change& untold_change) {
      const auto* older = std::get_if<PublishedItem>(&untold_change);
      return older != nullptr && older->name == item->name;
    });
  }
  this->untold.push_back(change);
}

void PublicationReader::NoteHeard(kernel::Instant now,
                                  const StoreRevision& heard,
                                  std::chrono::milliseconds patience) {
  if (heard <= this->revision) return;
  // Unless it has been asked for and its answer is on the way.
  if (heard <= this->heard_revision && !this->catch_up_at) return;
  this->heard_revision = std::max(this->heard_revision, heard);
  const auto read_at = now + patience;
  this->catch_up_at = std::min(this->catch_up_at.value_or(read_at), read_at);
}

void PublicationReader::TellRestored(const StoreRevision& revision,
                                     ReaderActions& actions) const {
  const bool is_restored =
      this->revision > StoreRevision() && revision.era > this->revision.era;
  if (is_restored) actions.emplace_back(SourceRestored{revision});
}

void PublicationReader::NoteAnswer(kernel::Instant answered_at) {
  this->newest_answer_at =
      std::max(this->newest_answer_at.value_or(answered_at), answered_at);
}

void PublicationReader::NoteSuccess(kernel::Instant now,
                                    ReaderActions& actions) {
  this->is_answered = true;
  this->is_answer_untold = true;
  this->own_answer_at = now;
  this->NoteAnswer(now);
  if (!this->failing_since) return;
  if (std::exchange(this->is_told_lost, false)) {
    actions.emplace_back(
        SourceRegained{std::chrono::duration_cast<std::chrono::milliseconds>(
                           now - *this->failing_since),
                       this->failures});
  }
  this->failing_since.reset();
  this->failures = 0;
}

void PublicationReader::NoteFailure(kernel::Instant now, ReadFailure failure,
                                    ReaderActions& /*actions*/) {
  this->phase = Phase::kIdle;
  this->is_answered = false;
  this->last_failure = failure;
  ++this->failures;
  if (!this->failing_since) this->failing_since = now;
  this->retry_at = now + this->BackOff(now);
}

kernel::Instant::duration PublicationReader::BackOff(kernel::Instant now) {
  const int doublings = std::min(this->failures - 1, kMostDoublings);
  auto base = std::min(kShortestBackOff * (1 << doublings), kLongestBackOff);
  // What a peer has seen and not told is read here or not at all.
  const bool is_behind = this->revision < this->heard_revision;
  if (!is_behind) {
    if (this->IsLeftToOthers()) base = this->LongestBackOff();
    if (this->IsCovered(now)) base = kCoveredBackOff;
  }
  // Hosts that lost the platform together must not come back together.
  std::uniform_int_distribution<std::int64_t> spread(base.count() / 2,
                                                     base.count());
  return std::chrono::milliseconds(spread(this->random));
}

std::chrono::milliseconds PublicationReader::LongestBackOff() const {
  if (!this->IsLeftToOthers()) return kLongestBackOff;
  const int waits = 2 * static_cast<int>(this->order.Rank()) + 1;
  return std::min(kLongestBackOff * waits, kLongestRankedBackOff);
}

}  // namespace burdockwheel::publication
