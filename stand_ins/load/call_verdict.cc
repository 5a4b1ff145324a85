#include "stand_ins/load/call_verdict.h"

#include "stand_ins/load/answer_check.h"

namespace burdockwheel::stand_ins {
namespace {

bool IsSuccess(int status) { return status >= 200 && status < 300; }

CallVerdict JudgeAnswer(const AnswerCheck& check) {
  if (check.IsForeign()) return {"foreign", ToldOutcome::kUnknown};
  if (check.Run() == ToldRun::kNotRun) {
    const std::string name =
        check.IsProblem() ? check.ProblemName() : "by-worker";
    CallVerdict verdict{"not-run:" + name, ToldOutcome::kNotRun};
    verdict.is_new_key_offered =
        name.starts_with("key-") && !check.Key().empty();
    return verdict;
  }
  if (check.Run() == ToldRun::kUnknown)
    return {"unknown:" + check.ProblemName(), ToldOutcome::kUnknown, true};
  if (!IsSuccess(check.Status())) {
    return {"status-" + std::to_string(check.Status()), ToldOutcome::kFailed};
  }
  if (check.IsOwn()) return {"ok", ToldOutcome::kAnswered};
  return {"incomplete", ToldOutcome::kUnknown};
}

}  // namespace

CallVerdict JudgeSend(SendResult result, const AnswerCheck& check) {
  switch (result) {
    case SendResult::kAnswered:
      break;
    case SendResult::kConnectFailed:
      return {"connect-failed", ToldOutcome::kNotRun, true};
    case SendResult::kLost:
      return {"connection-lost", ToldOutcome::kUnknown, true};
    case SendResult::kTimedOut:
      return {"timed-out", ToldOutcome::kUnknown, true};
    case SendResult::kMalformed:
      return {"malformed", ToldOutcome::kUnknown, true};
  }
  return JudgeAnswer(check);
}

}  // namespace burdockwheel::stand_ins
