// How requests and answers say what HTTP itself does not.
#pragma once

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "http/message.h"
#include "kernel/plugin_registry.h"
#include "model/attempt_outcome.h"
#include "model/refusal.h"

namespace burdockwheel::http {

// What an answer on a worker's connection is to the request that was sent.
enum class AnswerKind {
  kOwn,          // the worker's whole answer to it
  kNotRun,       // the worker states that it did not run the request
  kWrongWorker,  // the address belongs to another worker; nothing was run
  kForeign,      // the answer to another request; the own one may follow
  kCorrupt,      // spoiled; nothing can be told from it
};

// The headers and statuses that callers, workers and hosts have agreed on. The
// members that name a header are empty where there is none.
struct MessageConventions {
  // Names a request; passed on to the worker as the caller sent it.
  std::string request_id_header;
  // Whether judge_answer tells by the id which request an answer belongs to.
  bool is_answer_id_judged = false;
  // A request without an id is refused; otherwise it gets one.
  bool is_request_id_required = false;
  // The milliseconds that the sender of the request waits for the answer.
  std::string deadline_header;
  // How many calls led to the request.
  std::string depth_header;
  // Names the worker that is meant; any other answers kWrongWorker.
  std::string fence_header;
  // Names the worker that answers a probe.
  std::string instance_header;
  // The target of probes to services whose definition names none.
  std::string probe_path;
  // Headers of workers' answers that are not for callers.
  std::vector<std::string> private_answer_headers;

  std::function<std::optional<model::WorkerReport>(const std::vector<Header>&)>
      read_report;
  // Returns how much longer a worker is cold, from its answer to a probe; null
  // where workers do not tell.
  std::function<std::optional<std::chrono::milliseconds>(
      const std::vector<Header>&)>
      read_warm_up;
  // Returns what an answer of a worker asks of this host.
  std::function<model::WorkerNotice(const Answer&)> read_notice;
  std::function<AnswerKind(const Answer&, std::string_view request_id)>
      judge_answer;
  // Tells whether the answer says that no level above may try again.
  std::function<bool(const Answer&)> forbids_retry;
  // Tells whether callers take a worker's own answer for a promise that the
  // request has not run and never will.
  std::function<bool(const Answer&)> is_promise_of_not_run;
  // Returns the HTTP status by which callers are told of a refusal.
  std::function<int(const model::Refusal&)> refusal_status;
  // Returns the value of Retry-After.
  std::function<std::string(std::chrono::milliseconds)> retry_after_text;
};

using MessageConventionsRegistry = kernel::PluginRegistry<MessageConventions>;

// The conventions of hosts whose settings name none.
constexpr std::string_view kDefaultMessageConventions = "burdockwheel";

// Returns the default conventions, for tests and for processes that speak no
// others.
const MessageConventions& DefaultMessageConventions();

}  // namespace burdockwheel::http
