// How hosts of PublicationReader read the platform for one another.
#include <algorithm>
#include <bit>
#include <utility>

#include "publication/publication_reader.h"

namespace burdockwheel::publication {

bool PublicationReader::IsSharing() const {
  return this->settings.is_shared && this->has_peers;
}

bool PublicationReader::IsReader() const {
  if (!this->IsSharing()) return true;
  const std::size_t readers =
      this->order.DomainCount() >= kLeastReaders ? 1 : kLeastReaders;
  return this->order.Rank() < readers;
}

bool PublicationReader::IsLeftToOthers() const {
  return this->has_listing && !this->IsReader();
}

std::chrono::milliseconds PublicationReader::Patience() const {
  return kBeaconPatience + this->RankDelay();
}

std::chrono::milliseconds PublicationReader::RankDelay() const {
  return kRankStep * static_cast<int>(std::bit_width(this->order.Rank()));
}

std::optional<kernel::Instant> PublicationReader::OverdueAt(
    kernel::Instant now) const {
  const bool is_relying = this->IsSharing() && this->has_listing &&
                          this->phase != Phase::kListing &&
                          !this->IsAwaitingReaders(now);
  if (!is_relying) return std::nullopt;
  if (this->missed_since) return *this->missed_since + this->RankDelay();
  if (!this->newest_answer_at || this->missed_after == this->newest_answer_at)
    return std::nullopt;
  return *this->newest_answer_at + kMostAnswerAge;
}

void PublicationReader::AskWhenOverdue(kernel::Instant now,
                                       ReaderActions& actions) {
  const auto overdue_at = this->OverdueAt(now);
  if (!overdue_at || now < *overdue_at) return;
  if (!this->missed_since) {
    this->missed_since = now;
    this->missed_after = this->newest_answer_at;
    if (this->RankDelay().count() > 0) return;
  }
  this->missed_since.reset();
  const bool is_watching = this->phase == Phase::kWatching;
  // It asks already.
  if (is_watching &&
      (this->is_answer_arriving || this->watch_wait.count() == 0))
    return;
  actions.emplace_back(
      AnswerOverdue{std::chrono::duration_cast<std::chrono::milliseconds>(
                        now - *this->newest_answer_at),
                    this->order.Rank()});
  if (!this->IsReader()) this->stands_in_since = now;
  if (is_watching) actions.emplace_back(ResetSource{});
  this->phase = Phase::kIdle;
  this->is_answered = false;
  this->retry_at = now;
}

ReaderBeacon PublicationReader::MakeBeacon(
    kernel::Instant now, const StoreRevision& revision) const {
  const auto ago = [now](const std::optional<kernel::Instant>& answered_at) {
    return std::chrono::duration_cast<std::chrono::milliseconds>(
        now - answered_at.value_or(now));
  };
  return {revision, ago(this->own_answer_at), ago(this->newest_answer_at)};
}

bool PublicationReader::IsAwaitingReaders(kernel::Instant now) const {
  if (!this->settings.is_shared || !this->awaits_readers_until) return false;
  const bool is_known_reader = this->IsSharing() && this->IsReader();
  return !is_known_reader && now < *this->awaits_readers_until;
}

bool PublicationReader::IsRelieved(kernel::Instant now) const {
  if (this->IsAwaitingReaders(now)) return true;
  if (this->IsReader() || !this->relieved_at || this->stands_in_since)
    return false;
  return now < *this->relieved_at + this->Patience();
}

bool PublicationReader::IsCovered(kernel::Instant now) const {
  if (!this->IsSharing() || !this->covered_at) return false;
  return now < *this->covered_at + this->Patience();
}

void PublicationReader::TellPeers(kernel::Instant now, ReaderActions& actions) {
  if (!this->has_listing || this->phase == Phase::kListing) return;
  // Peers that start list for themselves.
  if (!this->IsSharing() || this->IsFirstListing()) {
    this->ForgetUntold();
  } else if (this->revision > this->untold_from && !this->IsRelieved(now)) {
    actions.emplace_back(
        TellUpdate{{this->untold_from, this->revision, this->untold}});
    this->ForgetUntold();
  }
  const bool is_reader =
      this->IsSharing() && this->is_answered && !this->IsRelieved(now);
  const bool is_answer_told = std::exchange(this->is_answer_untold, false);
  if (!is_reader) return;
  const bool is_wide = is_answer_told || now >= this->next_wide_beacon;
  if (!is_wide && now < this->next_beacon) return;
  this->next_beacon = now + kBeaconInterval;
  if (is_wide) this->next_wide_beacon = now + kWideBeaconInterval;
  actions.emplace_back(
      TellBeacon{this->MakeBeacon(now, this->revision), is_wide});
}

void PublicationReader::ForgetUntold() {
  this->untold.clear();
  this->untold_from = this->revision;
}

void PublicationReader::TellLoss(kernel::Instant now, ReaderActions& actions) {
  if (!this->failing_since) return;
  const bool is_lost = !this->IsCovered(now);
  if (is_lost == this->is_told_lost) return;
  this->is_told_lost = is_lost;
  if (is_lost) {
    actions.emplace_back(SourceLost{this->last_failure});
    return;
  }
  actions.emplace_back(
      SourceRegained{std::chrono::duration_cast<std::chrono::milliseconds>(
                         now - *this->failing_since),
                     this->failures});
}

std::optional<kernel::Instant> PublicationReader::NextWake(
    kernel::Instant now) const {
  std::optional<kernel::Instant> wake;
  const auto consider = [&wake](kernel::Instant time) {
    wake = wake ? std::min(*wake, time) : time;
  };
  if (this->catch_up_at) consider(*this->catch_up_at);
  if (this->phase == Phase::kIdle && this->retry_at && now < *this->retry_at)
    consider(*this->retry_at);
  if (this->IsAwaitingReaders(now)) {
    consider(*this->awaits_readers_until);
    return wake;
  }
  if (!this->IsSharing()) return wake;
  if (const auto overdue_at = this->OverdueAt(now)) consider(*overdue_at);
  if (this->IsRelieved(now)) {
    consider(*this->relieved_at + this->Patience());
  } else if (this->has_listing && this->is_answered) {
    consider(this->next_beacon);
  }
  if (this->failing_since && this->IsCovered(now))
    consider(*this->covered_at + this->Patience());
  return wake;
}

}  // namespace burdockwheel::publication
