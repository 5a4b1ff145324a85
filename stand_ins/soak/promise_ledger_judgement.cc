// What of the promises only a whole run can tell.
#include <algorithm>

#include "stand_ins/soak/promise_ledger.h"

namespace burdockwheel::stand_ins {

using kernel::Instant;

void PromiseLedger::Finish(Instant now) {
  this->JudgeRetryBudget();
  this->JudgeCancelled();
  this->JudgeTimes();
  this->JudgeRecovery(now);
  for (const auto& [target, retries] : this->poisoned_retries) {
    if (retries.size() <= kMostPoisonedRetries) continue;
    this->Add(Promise::kCrashBound, target + " reached workers in " +
                                        std::to_string(retries.size()) +
                                        " retries after it had crashed three");
  }
  if (this->lost.size() > kMostLostAnswers)
    this->Add(Promise::kNoLostAnswers,
              std::to_string(this->lost.size()) +
                  " connections closed on requests at sound workers, " +
                  this->lost.front() + " first");
}

void PromiseLedger::JudgeRetryBudget() {
  const auto count_between = [](const std::vector<Instant>& times, Instant from,
                                Instant to) {
    return std::ranges::lower_bound(times, to) -
           std::ranges::lower_bound(times, from);
  };
  for (const auto& [service, times] : this->repeats) {
    const auto& sent = this->requests[service];
    for (const auto from : times) {
      const auto to = from + kRetryWindow;
      const auto repeated = count_between(times, from, to);
      const auto asked =
          std::max({count_between(sent, from, to),
                    count_between(sent, from - kRetryWindow, from),
                    count_between(sent, from - kRetryWindow / 2,
                                  to - kRetryWindow / 2)});
      if (static_cast<double>(repeated) <=
          kRetryRatio * static_cast<double>(asked) + kRetrySlack)
        continue;
      this->Add(Promise::kRetryBudget,
                std::to_string(repeated) + " repeats at " + service + " for " +
                    std::to_string(asked) + " requests in 10 s");
      break;
    }
  }
}

// A few may be under way when their callers leave.
void PromiseLedger::JudgeCancelled() {
  constexpr int kFew = 3;
  int lasting = 0;
  int late = 0;
  std::string example;
  for (const auto& [id, record] : this->records) {
    if (!record.left_at || !record.request.is_idempotent) continue;
    const auto bound = *record.left_at + kCancelSlack;
    if (!this->IsInTouch(record.request.host, record.sent_at, bound)) continue;
    for (const auto& run : record.runs) {
      if (run.planned_end <= bound) continue;
      if (!this->disturbances.IsCalm(WorkerPart(run.worker), record.sent_at,
                                     bound))
        continue;
      lasting += 1;
      if (run.ended_at && *run.ended_at <= bound) continue;
      late += 1;
      example = id;
    }
  }
  if (late > kFew && 4 * late > lasting)
    this->Add(Promise::kCancelled,
              std::to_string(late) + " of " + std::to_string(lasting) +
                  " runs went on half a second after their callers had left, " +
                  example);
}

// Eight or more, and over a quarter of those that lasted so long.
void PromiseLedger::JudgeTimes() {
  constexpr int kMany = 8;
  int lasting = 0;
  int held = 0;
  std::string example;
  for (const auto& [id, record] : this->records) {
    const auto limit = record.sent_at + record.request.timeout;
    if (record.left_at) continue;
    if (record.ended_at && *record.ended_at <= limit) continue;
    const auto bound = limit + kAnswerSlack;
    if (!this->IsInTouch(record.request.host, record.sent_at, bound)) continue;
    lasting += 1;
    if (record.ended_at && *record.ended_at <= bound) continue;
    held += 1;
    example = id;
  }
  if (held >= kMany && 4 * held > lasting)
    this->Add(Promise::kAnsweredInTime,
              std::to_string(held) + " of " + std::to_string(lasting) +
                  " requests held past their time limit, " + example);
}

void PromiseLedger::JudgeRecovery(Instant now) {
  const auto from = std::max(this->disturbances.LastEnd(now),
                             this->planned_work.LastEnd(now)) +
                    kRecovery;
  std::int64_t asked = 0;
  std::int64_t served = 0;
  for (const auto& [id, record] : this->records) {
    if (record.sent_at < from || !record.ended_at || record.left_at) continue;
    asked += 1;
    if (record.is_served) served += 1;
  }
  if (static_cast<double>(served) >=
      kLeastServedAfterRecovery * static_cast<double>(asked))
    return;
  this->Add(Promise::kRecovers, std::to_string(served) + " of " +
                                    std::to_string(asked) +
                                    " served after the last fault");
}

}  // namespace burdockwheel::stand_ins
