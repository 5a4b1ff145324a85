// The msgpack forms that the messages of ownership share. Include it in source
// files only.
#pragma once

#include <cstdint>
#include <optional>
#include <string>

#include "ownership/forwarded_call.h"
#include "peer/msgpack_codec.h"

namespace burdockwheel::ownership {

// A CallResult. Refusals carry their reason by name, which outlives a change of
// the enumeration's order.
struct WireResult {
  bool is_answer = false;
  int status = 0;
  HeaderFields headers;
  std::string body;
  std::string reason;
  bool is_not_run = false;
  std::int64_t retry_after_ms = 0;

  MSGPACK_DEFINE(is_answer, status, headers, body, reason, is_not_run,
                 retry_after_ms)
};

WireResult WireResultOf(const CallResult& result);

// Returns nothing if a field is out of range.
std::optional<CallResult> CallResultOf(WireResult wire);

}  // namespace burdockwheel::ownership
