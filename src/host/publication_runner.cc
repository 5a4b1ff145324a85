#include "host/publication_runner.h"

#include <algorithm>
#include <chrono>
#include <string>
#include <utility>
#include <variant>

#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

using std::chrono::steady_clock;
using telemetry::LogLevel;

}  // namespace

PublicationRunner::PublicationRunner(
    boost::asio::io_context& context,
    const publication::ReaderSettings& settings,
    std::unique_ptr<publication::PublicationSource> source, Hooks hooks)
    : timer(context),
      directory_timer(context),
      reader(settings),
      source(std::move(source)),
      hooks(std::move(hooks)) {}

void PublicationRunner::Start() {
  this->heard_at = steady_clock::now();
  this->source->SetLargeAnswerHook([this] {
    this->hooks.notice_time();
    this->Notify(publication::LargeAnswerBegun());
  });
  this->Notify(publication::TimerFired());
}

void PublicationRunner::Notify(const publication::ReaderEvent& event) {
  publication::ReaderActions actions;
  this->reader.Handle(steady_clock::now(), event, actions);
  for (const auto& action : actions) {
    std::visit([this](const auto& concrete) { this->Do(concrete); }, action);
  }
  this->TellWorkers();
}

std::chrono::nanoseconds PublicationRunner::Age() const {
  return steady_clock::now() - this->heard_at;
}

void PublicationRunner::OnRead(std::uint64_t read, bool is_read,
                               const publication::ReaderEvent& event) {
  if (!is_read) this->failed_reads += 1;
  if (read != this->expected_read) return;
  if (is_read) this->heard_at = steady_clock::now();
  this->expected_read = 0;
  this->hooks.notice_time();
  this->Notify(event);
}

void PublicationRunner::Do(const publication::ReadPage& action) {
  this->expected_read = ++this->read_count;
  this->source->ReadPage(
      action.after, [this, read = this->expected_read](const auto& result) {
        this->OnRead(read, result.HasValue(), publication::PageRead{result});
      });
}

void PublicationRunner::Do(const publication::ReadChanges& action) {
  this->expected_read = ++this->read_count;
  this->source->ReadChanges(
      action.after_revision, action.wait,
      [this, read = this->expected_read](const auto& result) {
        this->OnRead(read, result.HasValue(), publication::ChangesRead{result});
      });
}

void PublicationRunner::Do(const publication::ResetSource& /*action*/) {
  this->expected_read = 0;
  this->source->Reset();
}

void PublicationRunner::Do(const publication::ItemChanged& action) {
  const auto& item = action.item;
  if (const auto* configuration =
          std::get_if<publication::PublishedConfiguration>(&item.content)) {
    this->hooks.configuration_published(*configuration);
    return;
  }
  this->evacuations.Observe(item);
  this->directory.Observe(item);
}

void PublicationRunner::Do(const publication::ItemGone& action) {
  const auto now = steady_clock::now();
  this->evacuations.ObserveGone(now, action.name, action.revision);
  this->directory.ObserveGone(now, action.name, action.revision);
}

void PublicationRunner::Do(const publication::ListingComplete& action) {
  telemetry::LogEvent(
      LogLevel::kInfo, "platform-listed",
      {{"era", action.revision.era}, {"revision", action.revision.number}});
}

void PublicationRunner::Do(const publication::TellUpdate& action) {
  const auto body = publication::EncodeUpdate(action.update);
  const auto peers = this->reader.NearPeers();
  const bool is_told = publication::IsWorthTelling(body.size(), peers);
  telemetry::LogEvent(
      LogLevel::kInfo, "update-read",
      {{"from", action.update.from.number},
       {"era", action.update.to.era},
       {"to", action.update.to.number},
       {"changes", static_cast<std::int64_t>(action.update.changes.size())},
       {"bytes", static_cast<std::int64_t>(body.size())},
       {"peers", static_cast<std::int64_t>(peers)},
       {"told", is_told ? "whole" : "revision"}});
  if (!is_told) {
    // They read the platform once they hear of a revision that they lack.
    this->hooks.send_beacon(publication::EncodeBeacon(this->reader.MakeBeacon(
                                steady_clock::now(), action.update.to)),
                            false);
    return;
  }
  this->hooks.send_update(body);
}

void PublicationRunner::Do(const publication::TellBeacon& action) {
  this->hooks.send_beacon(publication::EncodeBeacon(action.beacon),
                          action.is_wide);
}

void PublicationRunner::Do(const publication::AnswerOverdue& action) {
  this->overdue_answers += 1;
  telemetry::LogEvent(LogLevel::kWarning, "platform-answer-overdue",
                      {{"age_ms", action.age.count()},
                       {"rank", static_cast<std::int64_t>(action.rank)},
                       {"era", this->reader.Revision().era},
                       {"revision", this->reader.Revision().number}});
}

void PublicationRunner::TakeUpdate(const std::string& body) {
  auto update = publication::TryDecodeUpdate(body);
  if (!update) {
    telemetry::LogEvent(LogLevel::kWarning, "update-malformed", {});
    return;
  }
  this->heard_at = steady_clock::now();
  this->Notify(publication::UpdateHeard{std::move(*update)});
}

void PublicationRunner::TakeBeacon(const std::string& body,
                                   model::Incarnation sender,
                                   const model::FailureDomain& failure_domain) {
  const auto beacon = publication::TryDecodeBeacon(body);
  if (!beacon) {
    telemetry::LogEvent(LogLevel::kWarning, "beacon-malformed", {});
    return;
  }
  const auto answered_at = steady_clock::now() - beacon->newest_answer_ago;
  this->heard_at = std::max(this->heard_at, answered_at);
  this->Notify(publication::BeaconHeard{sender, failure_domain, *beacon});
}

void PublicationRunner::Do(const publication::SourceLost& action) {
  this->directory.NoteSourceLost();
  telemetry::LogEvent(LogLevel::kWarning, "platform-lost",
                      {{"cause", publication::ReadFailureName(action.failure)},
                       {"era", this->reader.Revision().era},
                       {"revision", this->reader.Revision().number}});
}

void PublicationRunner::Do(const publication::SourceRegained& action) {
  this->directory.NoteSourceRegained(steady_clock::now());
  telemetry::LogEvent(LogLevel::kInfo, "platform-regained",
                      {{"outage_ms", action.outage.count()},
                       {"failed_reads", action.failed_reads}});
}

// Records that the copy lacks are kept as those that lapse while the platform
// is away.
void PublicationRunner::Do(const publication::SourceRestored& action) {
  const auto now = steady_clock::now();
  this->directory.NoteSourceLost();
  this->directory.NoteSourceRegained(now);
  this->evacuations.NoteRestored(now);
  telemetry::LogEvent(
      LogLevel::kWarning, "platform-restored",
      {{"era", action.revision.era}, {"revision", action.revision.number}});
}

void PublicationRunner::Do(const publication::WakeAt& action) {
  this->timer.expires_at(action.time);
  this->timer.async_wait([this](const boost::system::error_code& error) {
    if (error) return;
    this->hooks.notice_time();
    this->Notify(publication::TimerFired());
  });
}

bool PublicationRunner::ApplyEvacuations() {
  this->evacuations.Advance(steady_clock::now());
  const auto changes = this->evacuations.TakeChanges();
  if (changes.empty()) return false;
  this->directory.SetEvacuated(this->evacuations.Domains());
  const auto records = this->directory.Records();
  for (const auto& change : changes) {
    // None: the name is not that of a domain with workers.
    const auto workers = std::ranges::count(
        records, change.failure_domain, &model::WorkerRecord::failure_domain);
    telemetry::LogEvent(
        workers == 0 ? LogLevel::kWarning : LogLevel::kInfo,
        change.is_evacuated ? "domain-evacuated" : "domain-restored",
        {{"domain", change.failure_domain.value},
         {"era", change.revision.era},
         {"revision", change.revision.number},
         {"workers", static_cast<std::int64_t>(workers)}});
  }
  return true;
}

void PublicationRunner::TellWorkers() {
  const bool has_new_evacuations = this->ApplyEvacuations();
  this->directory.Advance(steady_clock::now());
  const auto changes = this->directory.TakeChanges();
  for (const auto& change : changes) {
    telemetry::LogEvent(
        LogLevel::kInfo, "worker-record",
        {{"worker", change.worker.value},
         {"change", publication::DirectoryCauseName(change.cause)},
         {"era", change.revision.era},
         {"revision", change.revision.number},
         {"evidence", change.evidence}});
  }
  auto wake = this->directory.NextWake();
  const auto evacuation_wake = this->evacuations.NextWake();
  if (evacuation_wake)
    wake = std::min(wake.value_or(*evacuation_wake), *evacuation_wake);
  if (wake) {
    this->directory_timer.expires_at(*wake);
    this->directory_timer.async_wait(
        [this](const boost::system::error_code& error) {
          if (!error) this->TellWorkers();
        });
  }
  // The first listing is told whole, not page by page.
  const bool is_changed = has_new_evacuations || !changes.empty();
  if (!is_changed || !this->reader.HasListing()) return;
  this->hooks.workers_listed(this->directory.Records());
}

}  // namespace burdockwheel::host
