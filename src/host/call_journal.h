// Logs the decisions on each call.
#pragma once

#include <chrono>
#include <cstdint>
#include <string>
#include <string_view>

#include "engine/actions.h"
#include "host/call_submission.h"
#include "http/message.h"
#include "kernel/instant.h"
#include "model/attempt_outcome.h"
#include "model/refusal.h"
#include "telemetry/line_budget.h"

namespace burdockwheel::host {

// Bounds the lines on calls. While few calls come, each decision is written as
// it is made. Beyond that rate a call's lines are held and written when it ends
// only if it was refused, sent again, late or failed; ordinary calls are told
// by the metrics alone. Such lines have a rate of their own, so that a storm of
// either sort leaves room for the other. Runs on the serving thread.
class CallJournal {
 public:
  // The lines of one call that are not written yet.
  struct Entry {
    std::string request_id;
    bool is_written_at_once = false;
    bool is_notable = false;
    int written = 0;
    int held = 0;
    std::string held_lines;
  };

  // What became of lines on calls, for the life of the process.
  struct Counts {
    std::uint64_t calls_told = 0;
    std::uint64_t calls_not_told = 0;  // ordinary ones beyond the rate
    std::uint64_t lines_suppressed = 0;
  };

  explicit CallJournal(int lines_per_second);

  void SetRate(int lines_per_second);

  // A request was not taken as a call, for the reason given.
  void Rejected(kernel::Instant now, const http::Request& request,
                std::string_view request_id, const model::Refusal& refusal,
                std::uint64_t configuration_version);

  // A caller's bytes were no request, or did not come in time.
  void Unreadable(kernel::Instant now, std::string_view caller, int status);

  Entry Admitted(kernel::Instant now, const CallSubmission& submission);
  void Queued(kernel::Instant now, Entry& entry, const std::string& evidence);
  void Sent(kernel::Instant now, Entry& entry,
            const engine::StartAttempt& attempt);
  void AttemptEnded(kernel::Instant now, Entry& entry, model::AttemptId attempt,
                    const model::AttemptOutcome& outcome);
  void Cancelled(kernel::Instant now, Entry& entry, model::AttemptId attempt);

  // These end the call.
  void Answered(kernel::Instant now, Entry& entry,
                const CallSubmission& submission, kernel::Instant arrived,
                model::AttemptId attempt, const http::Answer& answer);
  void Refused(kernel::Instant now, Entry& entry, kernel::Instant arrived,
               const engine::RefuseCall& refusal);
  void CallerGone(kernel::Instant now, Entry& entry, kernel::Instant arrived);

  // The caller closed its connection before it had the whole answer.
  void Undelivered(kernel::Instant now, std::string_view request_id);

  const Counts& GetCounts() const { return this->counts; }

 private:
  void Write(kernel::Instant now, Entry& entry, const std::string& line);
  void End(kernel::Instant now, Entry& entry);
  void WriteNotable(kernel::Instant now, const std::string& line);

  telemetry::LineBudget at_once;
  telemetry::LineBudget notable;
  Counts counts;
};

}  // namespace burdockwheel::host
