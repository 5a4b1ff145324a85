// A call with a key and its answer, as entry hosts hand them to one another.
#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <utility>
#include <variant>
#include <vector>

#include "kernel/result.h"
#include "model/identifiers.h"
#include "model/refusal.h"

namespace burdockwheel::ownership {

// Largest encoded call or answer that is carried between hosts.
inline constexpr std::size_t kMostForwardedBytes =
    (std::size_t{2} << 20U) - std::size_t{8192};

// Names a forwarding in the life of the entry host that asked for it.
using ForwardId = model::TypedId<struct ForwardIdTag, std::uint64_t>;

using HeaderFields = std::vector<std::pair<std::string, std::string>>;

// An HTTP request with a key.
struct ForwardedCall {
  std::string key;  // the text of an IdempotencyKey
  std::string method;
  std::string target;  // path and query
  HeaderFields headers;
  std::string body;
  std::string caller;  // the caller's identity, as the entry host knows it
  std::chrono::milliseconds remaining{0};  // to the deadline, when sent
  int depth = 0;      // 0 for a call from outside the deployment
  ForwardId request;  // set by the coordinator

  friend bool operator==(const ForwardedCall&, const ForwardedCall&) = default;
};

// A worker's answer.
struct ForwardedAnswer {
  int status = 0;  // the HTTP status
  HeaderFields headers;
  std::string body;

  friend bool operator==(const ForwardedAnswer&,
                         const ForwardedAnswer&) = default;
};

// What a caller is given in the end.
using CallResult = std::variant<ForwardedAnswer, model::Refusal>;

// The issuer's reply to a forwarded call.
struct ForwardReply {
  // The life of the entry host that asked; a later one has the same address and
  // may have used the same id.
  model::Incarnation asker;
  ForwardId request;
  CallResult result;
};

enum class ForwardDecodeFailure { kMalformed, kFieldOutOfRange };

std::string EncodeForwardedCall(const ForwardedCall& call);
kernel::Result<ForwardedCall, ForwardDecodeFailure> DecodeForwardedCall(
    std::string_view bytes);

std::string EncodeForwardReply(const ForwardReply& reply);
kernel::Result<ForwardReply, ForwardDecodeFailure> DecodeForwardReply(
    std::string_view bytes);

}  // namespace burdockwheel::ownership
