#include "http/problem_document.h"

#include <nlohmann/json.hpp>
#include <string>

#include "http/worker_report_header.h"

namespace burdockwheel::http {

Answer MakeProblemAnswer(const model::Refusal& refusal,
                         std::string_view request_id,
                         const MessageConventions& conventions) {
  return MakeProblemAnswer(conventions.refusal_status(refusal), refusal,
                           request_id, conventions);
}

Answer MakeProblemAnswer(int status, const model::Refusal& refusal,
                         std::string_view request_id,
                         const MessageConventions& conventions) {
  const auto reason = model::RefusalReasonName(refusal.reason);
  const auto run = model::RunStateName(refusal.run_state);
  nlohmann::ordered_json document;
  // RFC 9457, 3.1.1: a relative type URI, resolved against the request's.
  document["type"] = "/problems/" + std::string(reason);
  document["title"] = reason;
  document["status"] = status;
  document["run"] = run;
  document["instance"] = request_id;
  Answer answer;
  answer.status = status;
  answer.headers.push_back({"Content-Type", "application/problem+json"});
  answer.headers.push_back({std::string(kRunHeader), std::string(run)});
  // The host has spent what it may on trying again; callers above must not.
  answer.headers.push_back({std::string(kRetryHeader), "no"});
  if (refusal.retry_after.count() > 0) {
    answer.headers.push_back(
        {"Retry-After", conventions.retry_after_text(refusal.retry_after)});
  }
  if (!request_id.empty()) {
    answer.headers.push_back(
        {conventions.request_id_header, std::string(request_id)});
  }
  answer.body =
      document.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return answer;
}

}  // namespace burdockwheel::http
