#include "stand_ins/load/run_check.h"

namespace burdockwheel::stand_ins {
namespace {

void CheckKey(const KeyOutcome& outcome, int run_count, bool is_count_whole,
              RunCheckReport* report) {
  ++report->keys;
  switch (outcome.told) {
    case ToldOutcome::kAnswered:
      ++report->answered;
      if (run_count == 0 && is_count_whole)
        report->answered_but_not_run.push_back(outcome.key);
      break;
    case ToldOutcome::kFailed:
      ++report->failed;
      break;
    case ToldOutcome::kNotRun:
      ++report->not_run;
      if (run_count > 0) report->not_run_but_run.push_back(outcome.key);
      break;
    case ToldOutcome::kUnknown:
      ++report->unknown;
      if (run_count > 0) ++report->unknown_and_run;
      break;
  }
}

}  // namespace

RunCheckReport CheckRuns(const std::vector<KeyOutcome>& outcomes,
                         const RunsByKey& runs, bool is_count_whole) {
  RunCheckReport report;
  for (const KeyOutcome& outcome : outcomes) {
    const auto found = runs.find(outcome.key);
    const int run_count = found == runs.end() ? 0 : found->second;
    CheckKey(outcome, run_count, is_count_whole, &report);
  }
  for (const auto& [key, run_count] : runs) {
    if (run_count > 1) report.run_twice.push_back(key);
  }
  return report;
}

const char* ToldOutcomeName(ToldOutcome told) {
  switch (told) {
    case ToldOutcome::kAnswered:
      return "answered";
    case ToldOutcome::kFailed:
      return "failed";
    case ToldOutcome::kNotRun:
      return "not-run";
    case ToldOutcome::kUnknown:
      break;
  }
  return "unknown";
}

}  // namespace burdockwheel::stand_ins
