// Takes callers' requests and answers them.
#pragma once

#include <functional>
#include <memory>
#include <string>
#include <variant>

#include "host/call_executor.h"
#include "host/call_journal.h"
#include "host/call_resolver.h"
#include "host/call_submission.h"
#include "http/exchange.h"
#include "http/message_conventions.h"
#include "kernel/result.h"

namespace burdockwheel::host {

// A call that must not run twice, with the key that tells it from others.
struct KeyedCall {
  http::Request request;  // as the caller sent it
  CallSubmission submission;
  std::string key;
  std::string caller;  // who sent it; empty if the caller does not say
};

// Joins callers' sessions with the executor and with the owners of keys. Runs
// on the serving thread.
class CallGateway {
 public:
  struct Hooks {
    // Issues a key, or tells why there is none.
    std::function<void(
        std::function<void(kernel::Result<std::string, model::Refusal>)>)>
        issue_key;
    // Sees to a keyed call wherever its key's owner is.
    std::function<void(KeyedCall, CallCompletion)> run_keyed_call;
  };

  // The references must outlive the gateway.
  CallGateway(std::string caller_header,
              const http::MessageConventions& conventions,
              CallResolver& resolver, CallExecutor& executor,
              CallJournal& journal, Hooks hooks);

  void Handle(const std::shared_ptr<http::Exchange>& exchange);

 private:
  void HandleKeyRequest(const std::shared_ptr<http::Exchange>& exchange);
  void HandleCall(const std::shared_ptr<http::Exchange>& exchange);
  void RunKeyed(const std::shared_ptr<http::Exchange>& exchange,
                http::Request original, CallSubmission submission,
                const std::string& key);
  void Refuse(const std::shared_ptr<http::Exchange>& exchange,
              const model::Refusal& refusal, const std::string& request_id);
  std::string CallerOf(const http::Request& request) const;

  std::string caller_header;
  const http::MessageConventions& conventions;
  CallResolver& resolver;
  CallExecutor& executor;
  CallJournal& journal;
  Hooks hooks;
};

// Makes a worker's answer fit to be given to a caller.
http::Answer PrepareAnswer(http::Answer answer, bool is_answer_to_head,
                           const std::string& request_id,
                           const http::MessageConventions& conventions);

}  // namespace burdockwheel::host
