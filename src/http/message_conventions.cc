#include "http/message_conventions.h"

#include <memory>

#include "http/retry_after.h"
#include "http/worker_report_header.h"

namespace burdockwheel::http {

namespace {

constexpr int kServiceUnavailable = 503;

std::optional<model::WorkerReport> ReadReport(
    const std::vector<Header>& headers) {
  const auto* load = HeaderOrNull(headers, kLoadHeader);
  if (load == nullptr) return std::nullopt;
  return ParseWorkerReportOrNull(*load);
}

bool IsPromiseOfNotRun(const Answer& answer) {
  const auto* run = HeaderOrNull(answer.headers, kRunHeader);
  return run != nullptr && *run == "not-run";
}

// A refusal counts as proof only if the worker states it in the agreed form.
AnswerKind JudgeAnswer(const Answer& answer, std::string_view /*request_id*/) {
  if (answer.status != kServiceUnavailable) return AnswerKind::kOwn;
  return IsPromiseOfNotRun(answer) ? AnswerKind::kNotRun : AnswerKind::kOwn;
}

bool ForbidsRetry(const Answer& answer) {
  const auto* retry = HeaderOrNull(answer.headers, kRetryHeader);
  return retry != nullptr && *retry == "no";
}

// RFC 9110, 10.2.3: whole seconds.
std::string RetryAfterText(std::chrono::milliseconds delay) {
  return std::to_string(std::chrono::ceil<std::chrono::seconds>(delay).count());
}

MessageConventions MakeDefault() {
  MessageConventions conventions;
  conventions.request_id_header = "X-Request-Id";
  conventions.deadline_header = "Burdockwheel-Deadline-Ms";
  conventions.depth_header = "Burdockwheel-Depth";
  conventions.probe_path = "/load";
  conventions.private_answer_headers = {std::string(kLoadHeader),
                                        "X-Request-Id"};
  conventions.read_report = ReadReport;
  conventions.read_notice = [](const Answer& answer) {
    return model::WorkerNotice{.pause = PauseAskedBy(answer)};
  };
  conventions.judge_answer = JudgeAnswer;
  conventions.forbids_retry = ForbidsRetry;
  conventions.is_promise_of_not_run = IsPromiseOfNotRun;
  conventions.refusal_status = [](const model::Refusal& refusal) {
    return model::RefusalStatus(refusal.reason);
  };
  conventions.retry_after_text = RetryAfterText;
  return conventions;
}

const MessageConventionsRegistry::Registration kRegistration(
    std::string(kDefaultMessageConventions),
    [] { return std::make_unique<MessageConventions>(MakeDefault()); });

}  // namespace

const MessageConventions& DefaultMessageConventions() {
  static const MessageConventions kConventions = MakeDefault();
  return kConventions;
}

}  // namespace burdockwheel::http
