// Compares what callers were told with what workers have counted.
#pragma once

#include <cstdint>
#include <string>
#include <unordered_map>
#include <vector>

namespace burdockwheel::stand_ins {

// The last thing that a caller was told about a keyed call.
enum class ToldOutcome {
  kAnswered,  // the worker's whole answer of success came
  kFailed,    // the worker's answer was a failure of its own
  kNotRun,
  kUnknown,  // told so, or the caller saw a time-out or a loss
};

struct KeyOutcome {
  std::string key;
  ToldOutcome told = ToldOutcome::kUnknown;
};

struct RunCheckReport {
  std::int64_t keys = 0;
  std::int64_t answered = 0;
  std::int64_t failed = 0;
  std::int64_t not_run = 0;
  std::int64_t unknown = 0;
  std::int64_t unknown_and_run = 0;
  // Broken promises.
  std::vector<std::string> run_twice;
  std::vector<std::string> not_run_but_run;
  std::vector<std::string> answered_but_not_run;

  bool IsSound() const {
    return this->run_twice.empty() && this->not_run_but_run.empty() &&
           this->answered_but_not_run.empty();
  }
};

using RunsByKey = std::unordered_map<std::string, int>;

// `runs` are the sums over all workers once every call has ended. A worker that
// crashed has lost its counts: then the absence of a run proves nothing, and
// `is_count_whole` is false.
RunCheckReport CheckRuns(const std::vector<KeyOutcome>& outcomes,
                         const RunsByKey& runs, bool is_count_whole);

const char* ToldOutcomeName(ToldOutcome told);

}  // namespace burdockwheel::stand_ins
