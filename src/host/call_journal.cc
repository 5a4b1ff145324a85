#include "host/call_journal.h"

#include <utility>

#include "telemetry/event_log.h"

namespace burdockwheel::host {

namespace {

using std::chrono::milliseconds;
using telemetry::FormatLogLine;
using telemetry::LogLevel;

// Admitted, sent, ended, answered: what an ordinary call has to tell.
constexpr int kUsualLines = 4;
// A call's held lines; a call is sent to a handful of workers at most.
constexpr std::size_t kMostHeldBytes = std::size_t{4} * 1024;
// The share of the rate that is kept for calls with something to explain.
constexpr double kNotableShare = 0.4;
// The part of a target that is logged; the rest may hold what is private.
constexpr std::size_t kMostTargetBytes = 64;

constexpr auto kLevel = LogLevel::kInfo;

std::int64_t Milliseconds(std::chrono::nanoseconds time) {
  return std::chrono::duration_cast<milliseconds>(time).count();
}

std::string_view CauseName(engine::AttemptCause cause) {
  switch (cause) {
    case engine::AttemptCause::kFirstTry:
      return "first-try";
    case engine::AttemptCause::kRetry:
      return "retry";
    case engine::AttemptCause::kHedge:
      return "second-copy";
  }
  return "unknown";
}

std::string_view PathOf(const http::Request& request) {
  const std::string_view target = request.target;
  return target.substr(0, target.find('?')).substr(0, kMostTargetBytes);
}

}  // namespace

CallJournal::CallJournal(int lines_per_second)
    : at_once(lines_per_second * (1 - kNotableShare)),
      notable(lines_per_second * kNotableShare) {}

void CallJournal::SetRate(int lines_per_second) {
  this->at_once.SetRate(lines_per_second * (1 - kNotableShare));
  this->notable.SetRate(lines_per_second * kNotableShare);
}

void CallJournal::Rejected(kernel::Instant now, const http::Request& request,
                           std::string_view request_id,
                           const model::Refusal& refusal,
                           std::uint64_t configuration_version) {
  if (!telemetry::IsLogged(kLevel)) return;
  const auto* host = http::HeaderOrNull(request.headers, "Host");
  this->WriteNotable(
      now,
      FormatLogLine(kLevel, "call-rejected",
                    {{"call", request_id},
                     {"reason", model::RefusalReasonName(refusal.reason)},
                     {"run_state", model::RunStateName(refusal.run_state)},
                     {"method", request.method},
                     {"host", host == nullptr ? std::string_view() : *host},
                     {"path", PathOf(request)},
                     {"configuration", configuration_version}}));
}

void CallJournal::Unreadable(kernel::Instant now, std::string_view caller,
                             int status) {
  if (!telemetry::IsLogged(kLevel)) return;
  this->WriteNotable(now,
                     FormatLogLine(kLevel, "request-unreadable",
                                   {{"caller", caller}, {"status", status}}));
}

CallJournal::Entry CallJournal::Admitted(kernel::Instant now,
                                         const CallSubmission& submission) {
  Entry entry;
  if (!telemetry::IsLogged(kLevel)) return entry;
  entry.request_id = submission.request_id;
  entry.is_written_at_once = this->at_once.TryTake(now, kUsualLines);
  this->Write(
      now, entry,
      FormatLogLine(kLevel, "call-admitted",
                    {{"call", entry.request_id},
                     {"service", submission.service.value},
                     {"kind", submission.kind_name},
                     {"left_ms", Milliseconds(submission.deadline - now)},
                     {"depth", submission.depth},
                     {"fingerprint", submission.fingerprint},
                     {"configuration", submission.configuration_version}}));
  return entry;
}

void CallJournal::Queued(kernel::Instant now, Entry& entry,
                         const std::string& evidence) {
  if (!telemetry::IsLogged(kLevel)) return;
  entry.is_notable = true;
  this->Write(
      now, entry,
      FormatLogLine(kLevel, "call-queued",
                    {{"call", entry.request_id}, {"evidence", evidence}}));
}

void CallJournal::Sent(kernel::Instant now, Entry& entry,
                       const engine::StartAttempt& attempt) {
  if (!telemetry::IsLogged(kLevel)) return;
  if (attempt.cause != engine::AttemptCause::kFirstTry) entry.is_notable = true;
  const auto& evidence = attempt.evidence;
  const auto age =
      evidence.report_age ? Milliseconds(*evidence.report_age) : -1;
  this->Write(
      now, entry,
      FormatLogLine(kLevel, "call-sent",
                    {{"call", entry.request_id},
                     {"attempt", attempt.attempt.value},
                     {"cause", CauseName(attempt.cause)},
                     {"worker", attempt.worker.value},
                     {"left_ms", Milliseconds(attempt.deadline - now)},
                     {"worth", evidence.expected_worth},
                     {"delay_ms", Milliseconds(evidence.expected_delay)},
                     {"load", evidence.expected_load},
                     {"slots", evidence.slots},
                     {"own", evidence.own_in_flight},
                     {"slowdown", evidence.slowdown.value_or(0)},
                     {"report_age_ms", age},
                     {"candidates", evidence.candidates},
                     {"local", evidence.is_local ? 1 : 0},
                     {"trial", evidence.is_trial ? 1 : 0}}));
}

void CallJournal::AttemptEnded(kernel::Instant now, Entry& entry,
                               model::AttemptId attempt,
                               const model::AttemptOutcome& outcome) {
  if (!telemetry::IsLogged(kLevel)) return;
  const bool is_answered = outcome.result == model::AttemptResult::kAnswered;
  constexpr int kFirstServerError = 500;
  if (!is_answered || outcome.status >= kFirstServerError)
    entry.is_notable = true;
  const auto report = outcome.report.value_or(model::WorkerReport());
  this->Write(
      now, entry,
      FormatLogLine(kLevel, "attempt-ended",
                    {{"call", entry.request_id},
                     {"attempt", attempt.value},
                     {"result", model::AttemptResultName(outcome.result)},
                     {"cause", model::BreakCauseName(outcome.cause)},
                     {"status", outcome.status},
                     {"latency_ms", Milliseconds(outcome.latency)},
                     {"running", report.calls_in_flight},
                     {"waiting", report.calls_queued},
                     {"slowdown", report.slowdown.value_or(0)}}));
}

void CallJournal::Cancelled(kernel::Instant now, Entry& entry,
                            model::AttemptId attempt) {
  if (!telemetry::IsLogged(kLevel)) return;
  this->Write(
      now, entry,
      FormatLogLine(kLevel, "attempt-cancelled",
                    {{"call", entry.request_id}, {"attempt", attempt.value}}));
}

void CallJournal::Answered(kernel::Instant now, Entry& entry,
                           const CallSubmission& submission,
                           kernel::Instant arrived, model::AttemptId attempt,
                           const http::Answer& answer) {
  if (!telemetry::IsLogged(kLevel)) return;
  const bool is_late =
      submission.objective.count() > 0 && now - arrived > submission.objective;
  if (is_late) entry.is_notable = true;
  this->Write(now, entry,
              FormatLogLine(
                  kLevel, "call-answered",
                  {{"call", entry.request_id},
                   {"attempt", attempt.value},
                   {"status", answer.status},
                   {"latency_ms", Milliseconds(now - arrived)},
                   {"objective_ms", submission.objective.count()},
                   {"late", is_late ? 1 : 0},
                   {"bytes", static_cast<std::uint64_t>(answer.body.size())}}));
  this->End(now, entry);
}

void CallJournal::Refused(kernel::Instant now, Entry& entry,
                          kernel::Instant arrived,
                          const engine::RefuseCall& refusal) {
  if (!telemetry::IsLogged(kLevel)) return;
  entry.is_notable = true;
  this->Write(
      now, entry,
      FormatLogLine(
          kLevel, "call-refused",
          {{"call", entry.request_id},
           {"reason", model::RefusalReasonName(refusal.refusal.reason)},
           {"run_state", model::RunStateName(refusal.refusal.run_state)},
           {"retry_after_ms", refusal.refusal.retry_after.count()},
           {"latency_ms", Milliseconds(now - arrived)},
           {"evidence", refusal.evidence}}));
  this->End(now, entry);
}

void CallJournal::CallerGone(kernel::Instant now, Entry& entry,
                             kernel::Instant arrived) {
  if (!telemetry::IsLogged(kLevel)) return;
  entry.is_notable = true;
  this->Write(now, entry,
              FormatLogLine(kLevel, "caller-gone",
                            {{"call", entry.request_id},
                             {"latency_ms", Milliseconds(now - arrived)}}));
  this->End(now, entry);
}

void CallJournal::Undelivered(kernel::Instant now,
                              std::string_view request_id) {
  if (!telemetry::IsLogged(kLevel)) return;
  this->WriteNotable(
      now, FormatLogLine(kLevel, "answer-undelivered", {{"call", request_id}}));
}

void CallJournal::Write(kernel::Instant now, Entry& entry,
                        const std::string& line) {
  if (!entry.is_written_at_once) {
    if (entry.held_lines.size() + line.size() > kMostHeldBytes) {
      this->counts.lines_suppressed += 1;
      return;
    }
    entry.held += 1;
    entry.held_lines.append(line).push_back('\n');
    return;
  }
  entry.written += 1;
  if (entry.written <= kUsualLines) {
    telemetry::SubmitLogLine(kLevel, line);
    return;
  }
  this->WriteNotable(now, line);
}

void CallJournal::End(kernel::Instant now, Entry& entry) {
  if (entry.is_written_at_once) {
    this->counts.calls_told += 1;
    return;
  }
  if (!entry.is_notable) {
    this->counts.calls_not_told += 1;
    return;
  }
  if (!this->notable.TryTake(now, entry.held)) {
    this->counts.calls_not_told += 1;
    this->counts.lines_suppressed += static_cast<std::uint64_t>(entry.held);
    return;
  }
  this->counts.calls_told += 1;
  entry.held_lines.pop_back();
  telemetry::SubmitLogLine(kLevel, entry.held_lines);
}

void CallJournal::WriteNotable(kernel::Instant now, const std::string& line) {
  if (!this->notable.TryTake(now)) {
    this->counts.lines_suppressed += 1;
    return;
  }
  telemetry::SubmitLogLine(kLevel, line);
}

}  // namespace burdockwheel::host
