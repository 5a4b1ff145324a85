// Checks what callers are told against what was run.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "model/refusal.h"
#include "ownership/forwarded_call.h"
#include "ownership/trace_step.h"

namespace burdockwheel::ownership {

// A breach of what must always hold.
enum class Violation {
  kRanTwice,        // two runs of one key, of which both may have happened
  kRanAfterNotRun,  // a run after a caller was told "not-run"
  kFalseNotRun,     // "not-run" told of a key that may have run
  kForeignAnswer,   // an answer that is not of the caller's own call
  kAnsweredTwice,   // a call was given two results
  kNeverAnswered,   // a call had no result by its deadline
  kTooManyKeys,     // a ledger grew beyond its bound
};

std::string_view ViolationName(Violation violation);

// One run of a key, as its worker sees it.
struct ObservedRun {
  std::string host;
  std::uint64_t run = 0;  // the RunId
  std::string caller;
  std::string body;
  std::string answer;  // what the worker answers
  bool is_in_flight = true;
  bool may_have_run = true;  // false once it is proved that it has not
};

// One call, as its caller sees it.
struct ObservedCall {
  std::string host;
  std::string key;
  std::string caller;
  std::string body;
  CallOutcome outcome = CallOutcome::kWaiting;
  model::RefusalReason reason = model::RefusalReason::kOverloaded;
};

// Keys and calls go by the names that the trace gives them.
class OutcomeChecker {
 public:
  using Verdict = std::optional<Violation>;

  // A host has started a run. Sets the run's answer.
  Verdict NoteRunStarted(const std::string& key, ObservedRun run);

  // Returns the oldest run of the key in flight, or null.
  ObservedRun* RunInFlightOrNull(const std::string& key);

  void AddCall(std::uint64_t number, ObservedCall call);

  // The caller of a call was given its result.
  Verdict NoteResult(std::uint64_t number, const CallResult& result);

  // The caller of a call has gone away.
  void LoseCall(std::uint64_t number);

  // A host was killed: nobody will answer its calls, and what it was running
  // may have run.
  void LoseHost(const std::string& host);

  const std::map<std::uint64_t, ObservedCall>& Calls() const {
    return this->calls;
  }

  // Returns the call, or null if there is none of this number.
  const ObservedCall* CallOrNull(std::uint64_t number) const;

  // Number of runs that may have happened.
  std::size_t RunCount(const std::string& key) const;

  // Checks that no caller waits any more.
  Verdict CheckAllAnswered() const;

 private:
  Verdict CheckAnswer(const ObservedCall& call, const std::string& answer);

  struct KeyHistory {
    std::vector<ObservedRun> runs;
    bool is_told_not_run = false;
  };

  std::map<std::string, KeyHistory> keys;
  std::map<std::uint64_t, ObservedCall> calls;
};

}  // namespace burdockwheel::ownership
