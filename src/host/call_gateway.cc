#include "host/call_gateway.h"

#include <chrono>
#include <optional>
#include <string_view>
#include <utility>

#include "http/hop_by_hop.h"
#include "http/problem_document.h"
#include "http/worker_report_header.h"

namespace burdockwheel::host {

namespace {

using std::chrono::steady_clock;

constexpr std::string_view kKeyHeader = "Idempotency-Key";
constexpr std::string_view kKeysTarget = "/.well-known/idempotency-keys";

bool IsKeyFault(model::RefusalReason reason) {
  return reason == model::RefusalReason::kKeyRequired ||
         reason == model::RefusalReason::kKeyUnrecognized;
}

}  // namespace

http::Answer PrepareAnswer(http::Answer answer, bool is_answer_to_head,
                           const std::string& request_id,
                           const http::MessageConventions& conventions) {
  // RFC 9110, 9.3.2: an answer to HEAD may tell the length that GET has.
  std::optional<std::string> length_for_head;
  if (is_answer_to_head) {
    const auto* length = http::HeaderOrNull(answer.headers, "Content-Length");
    if (length != nullptr) length_for_head = *length;
  }
  http::RemoveHopByHopHeaders(answer.headers);
  for (const auto& name : conventions.private_answer_headers)
    http::RemoveHeader(answer.headers, name);
  if (length_for_head) {
    answer.headers.push_back({"Content-Length", *length_for_head});
  }
  if (!http::HeaderOrNull(answer.headers, conventions.request_id_header))
    answer.headers.push_back({conventions.request_id_header, request_id});
  return answer;
}

CallGateway::CallGateway(std::string caller_header,
                         const http::MessageConventions& conventions,
                         CallResolver& resolver, CallExecutor& executor,
                         CallJournal& journal, Hooks hooks)
    : caller_header(std::move(caller_header)),
      conventions(conventions),
      resolver(resolver),
      executor(executor),
      journal(journal),
      hooks(std::move(hooks)) {}

void CallGateway::Handle(const std::shared_ptr<http::Exchange>& exchange) {
  const auto& request = exchange->request;
  const bool is_key_request = this->hooks.issue_key &&
                              request.method == "POST" &&
                              request.target == kKeysTarget;
  if (is_key_request) {
    this->HandleKeyRequest(exchange);
    return;
  }
  this->HandleCall(exchange);
}

void CallGateway::HandleKeyRequest(
    const std::shared_ptr<http::Exchange>& exchange) {
  const auto request_id = this->resolver.RequestIdFor(exchange->request);
  this->hooks.issue_key([this, exchange, request_id](auto key) {
    if (!key.HasValue()) {
      this->Refuse(exchange, key.Failure(), request_id);
      return;
    }
    http::Answer answer;
    answer.status = 201;
    answer.headers.push_back({std::string(kKeyHeader), key.Value()});
    answer.headers.push_back({"Cache-Control", "no-store"});
    answer.headers.push_back({this->conventions.request_id_header, request_id});
    exchange->Respond(std::move(answer));
  });
}

void CallGateway::HandleCall(const std::shared_ptr<http::Exchange>& exchange) {
  const auto* key_header =
      http::HeaderOrNull(exchange->request.headers, kKeyHeader);
  const std::string key = key_header == nullptr ? "" : *key_header;
  // A keyed call may go to another host, which needs it as it came.
  std::optional<http::Request> original;
  if (!key.empty()) original = exchange->request;
  const bool is_head = exchange->request.method == "HEAD";
  auto resolved = this->resolver.Resolve(exchange->begun_at, exchange->request);
  if (!resolved.HasValue()) {
    auto refusal = resolved.Failure();
    // An earlier send of the key may have run; only its issuer knows.
    if (!key.empty()) refusal.run_state = model::RunState::kUnknown;
    const auto request_id = this->resolver.RequestIdFor(exchange->request);
    this->journal.Rejected(steady_clock::now(), exchange->request, request_id,
                           refusal, this->resolver.ConfigurationVersion());
    this->Refuse(exchange, refusal, request_id);
    return;
  }
  auto& call = resolved.Value();
  if (!call.is_idempotent && !key.empty() && this->hooks.run_keyed_call) {
    this->RunKeyed(exchange, std::move(*original), std::move(call.submission),
                   key);
    return;
  }
  const auto request_id = call.submission.request_id;
  if (!call.is_idempotent && call.is_key_required) {
    const model::Refusal refusal{model::RefusalReason::kKeyRequired,
                                 model::RunState::kNotRun,
                                 std::chrono::milliseconds(0)};
    this->journal.Rejected(steady_clock::now(), call.submission.request,
                           request_id, refusal,
                           this->resolver.ConfigurationVersion());
    this->Refuse(exchange, refusal, request_id);
    return;
  }
  exchange->on_undelivered = [this, request_id] {
    this->journal.Undelivered(steady_clock::now(), request_id);
  };
  const auto call_id = this->executor.Submit(
      std::move(call.submission),
      [this, exchange, is_head, request_id](CallResult result) {
        if (const auto* refusal = std::get_if<model::Refusal>(&result)) {
          this->Refuse(exchange, *refusal, request_id);
          return;
        }
        exchange->Respond(
            PrepareAnswer(std::get<http::Answer>(std::move(result)), is_head,
                          request_id, this->conventions));
      });
  if (!exchange->IsOpen()) return;
  exchange->on_caller_gone = [this, call_id] {
    this->executor.Abandon(call_id);
  };
}

// A keyed call goes on when its caller goes away: its outcome is kept for the
// resend.
void CallGateway::RunKeyed(const std::shared_ptr<http::Exchange>& exchange,
                           http::Request original, CallSubmission submission,
                           const std::string& key) {
  KeyedCall keyed;
  keyed.caller = this->CallerOf(original);
  keyed.request = std::move(original);
  keyed.key = key;
  const auto request_id = submission.request_id;
  keyed.submission = std::move(submission);
  this->hooks.run_keyed_call(std::move(keyed), [this, exchange,
                                                request_id](CallResult result) {
    if (const auto* refusal = std::get_if<model::Refusal>(&result)) {
      this->Refuse(exchange, *refusal, request_id);
      return;
    }
    exchange->Respond(PrepareAnswer(std::get<http::Answer>(std::move(result)),
                                    false, request_id, this->conventions));
  });
}

void CallGateway::Refuse(const std::shared_ptr<http::Exchange>& exchange,
                         const model::Refusal& refusal,
                         const std::string& request_id) {
  auto answer = http::MakeProblemAnswer(refusal, request_id, this->conventions);
  if (!IsKeyFault(refusal.reason) || !this->hooks.issue_key) {
    exchange->Respond(std::move(answer));
    return;
  }
  // The caller can go on at once with a fresh key.
  this->hooks.issue_key([exchange, answer](auto key) mutable {
    if (key.HasValue()) {
      answer.headers.push_back({std::string(kKeyHeader), key.Value()});
    }
    exchange->Respond(std::move(answer));
  });
}

std::string CallGateway::CallerOf(const http::Request& request) const {
  const auto* value = http::HeaderOrNull(request.headers, this->caller_header);
  return value == nullptr ? std::string() : *value;
}

}  // namespace burdockwheel::host
