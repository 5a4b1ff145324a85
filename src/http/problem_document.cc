#include "http/problem_document.h"

#include <nlohmann/json.hpp>
#include <string>

namespace burdockwheel::http {

Answer MakeProblemAnswer(const model::Refusal& refusal,
                         std::string_view request_id) {
  const auto reason = model::RefusalReasonName(refusal.reason);
  const auto run = model::RunStateName(refusal.run_state);
  nlohmann::ordered_json document;
  // RFC 9457, 3.1.1: a relative type URI, resolved against the request's.
  document["type"] = "/problems/" + std::string(reason);
  document["title"] = reason;
  document["status"] = model::RefusalStatus(refusal.reason);
  document["run"] = run;
  document["instance"] = request_id;
  Answer answer;
  answer.status = model::RefusalStatus(refusal.reason);
  answer.headers.push_back({"Content-Type", "application/problem+json"});
  answer.headers.push_back({"Burdockwheel-Run", std::string(run)});
  // The host has spent what it may on trying again; callers above must not.
  answer.headers.push_back({"Burdockwheel-Retry", "no"});
  if (refusal.retry_after.count() > 0) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(refusal.retry_after);
    answer.headers.push_back({"Retry-After", std::to_string(seconds.count())});
  }
  answer.body = document.dump();
  return answer;
}

}  // namespace burdockwheel::http
