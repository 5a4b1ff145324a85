// A call that is ready to be run by a host, and what comes of it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <variant>

#include "http/message.h"
#include "kernel/instant.h"
#include "model/identifiers.h"
#include "model/refusal.h"

namespace burdockwheel::host {

struct CallSubmission {
  model::ServiceName service;
  std::size_t kind_index = 0;  // into the kinds of the service's definition
  http::Request request;       // without hop-by-hop headers
  std::string kind_name;       // for logs and metrics
  std::string request_id;
  std::chrono::milliseconds objective{0};  // zero: none
  std::uint64_t configuration_version = 0;
  kernel::Instant deadline;
  int depth = 0;
  std::uint64_t fingerprint = 0;
};

// A worker's whole answer, or the host's own refusal.
using CallResult = std::variant<http::Answer, model::Refusal>;

// Told once what came of a call.
using CallCompletion = std::function<void(CallResult)>;

}  // namespace burdockwheel::host
